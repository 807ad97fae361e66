#include "node/downstream/server_state.h"

namespace asterdrift::node::downstream {

bool is_busy(ConnectionState state) {
  return state == ConnectionState::kUploading || state == ConnectionState::kWaiting ||
         state == ConnectionState::kWriting;
}

ConnectionList* ConnectionLists::of(ConnectionState state) {
  switch (state) {
    case ConnectionState::kFresh:
      return &fresh;
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
    case ConnectionState::kNew:
    case ConnectionState::kWaiting:
    case ConnectionState::kClosed:
      return nullptr;
  }
  return nullptr;
}

}  // namespace asterdrift::node::downstream
