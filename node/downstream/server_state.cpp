// Defines which connection states are busy, and which list holds the connections of a state.
#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

bool is_busy(ConnectionState state) {
  return state == ConnectionState::kUploading || state == ConnectionState::kAwaitingResponse ||
         state == ConnectionState::kWriting;
}

ConnectionList* ConnectionLists::find(ConnectionState state) {
  switch (state) {
    case ConnectionState::kAwaitingFirstRequest:
      return &awaiting_first_request;
    case ConnectionState::kIdle:
      return &idle;
    case ConnectionState::kReading:
      return &reading;
    case ConnectionState::kUploading:
      return &uploading;
    case ConnectionState::kWriting:
      return &writing;
    case ConnectionState::kClosing:
      return &closing;
    case ConnectionState::kInitial:
    case ConnectionState::kAwaitingResponse:
    case ConnectionState::kClosed:
      return nullptr;
  }
  return nullptr;
}

}  // namespace asterdrift::node::downstream
