// All decisions of the load balancer. The interface, that is the types, events and actions, is
// include/asterdrift/balancer/balancer.h; read it first. Reading order here: the constants, then one section
// for each question: admit? who is there? is it healthy? which server? how long? again? and last the events.
#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_map>
#include <utility>

#include "asterdrift/balancer/balancer.h"
#include "cold.h"
#include "idle.h"
#include "members.h"
#include "subset.h"
#include "support.h"
#include "tenants.h"

namespace asterdrift::balancer {
namespace {

// ---------------------------------------------------------------- constants

constexpr int kLeastBuckets = 15;        // 1.5 s: an empty window lets this much of the limit in at once
constexpr int kMostBuckets = 80;         // 8 s: a longer window would notice a tenant's burst after its end
constexpr double kWindowCalls = 15;      // calls; a window holds so many where it can: fewer come by chance
constexpr double kHardLimitFactor = 20;  // denied calls count too: below real floods nothing is denied whole
constexpr double kFactorCache = 0.1;     // s; as in the source
constexpr double kStartShare = 1.2;  // x allowance; start of a limit, the first step above it being learned
constexpr double kSparseStart = 4;   // x allowance; chance gives a copy with few calls several times its part
constexpr double kReviewPeriod = 1;  // s; least time between changes of a limit, a feedback delay
constexpr double kReviewCalls = 5;   // calls; fewer say nothing about a tenant
constexpr double kBadShare = 0.1;    // of ended calls; above it a limit drops
constexpr double kFineShare = 0.03;  // of ended calls; below it a limit may rise
constexpr double kDrop = 0.75;       // x; one drop of a limit
constexpr double kRise = 0.1;        // of the limit; one rise, for traffic of full worth; less in proportion
constexpr double kInTime = 0.6;      // of the aim; slower answers tell of queues before the aim is missed

constexpr double kFarPart = 0.25;      // over the price: what the power's excess adds to a far server's draw
constexpr double kZoneChance = 2.5;    // of that power; a zone slower by a quarter may be so by chance
constexpr double kZonePower = 4;       // how strongly the zones' answer times shift that part
constexpr double kZoneAnswers = 30;    // calls; a zone's measure is steadier than one server's
constexpr double kAdmittedMemory = 5;  // s; smoothing of the admitted rate that sizes cold budgets

constexpr double kQueueFactor = 1.5;  // x the usual answer time of an idle tier; longer queues get no call
constexpr double kTierFactor = 1.8;   // x the same for all servers together, whose measure is steadier
constexpr double kLeastRoom = 2;      // calls in flight, over all copies, that any server has room for
constexpr double kThinRoom = 1.75;    // calls; a part of a server's room below it is too coarse a measure
constexpr double kFewCalls = 3;  // calls in flight; a copy with fewer at a time is sparse: they tell nothing
constexpr double kTierMemory = 2.5;  // s; smoothing of calls in flight and of answers, all servers together
constexpr double kSparseStartCalls = 1.5;  // and these at the start, fading
constexpr double kSparseSlack = 0.4;       // calls in flight on average, beyond what the answers allow
constexpr double kStartRoom = 6;  // and more at one that has had no time to answer; fades as answers come

constexpr double kSlowPower = 2;     // how strongly slow answers lower a server's part of the draw
constexpr double kPriorAnswers = 2;  // calls; before a server has answered so many it counts as usual by half
constexpr double kQuickest = 0.5;    // x the tier's answer time; a few lucky answers draw no crowd
constexpr double kFailed = 8;  // x the tier's answer time; a call without an answer counts as one so slow
constexpr double kIll = 3;     // x the tier's answer time, from which a server is shunned
constexpr double kLeastUsual = 0.01;  // of the aim; an answer time that is no longer counts as this
static_assert(kLeastTrace < kPriorAnswers * (kIll - 1) * kLeastUsual, "what is not traced is not shunned");

constexpr double kLatencyGain = 0.05;  // weight of one sample in the latency estimates
constexpr double kDeviations = 6;      // deviations over the mean before an attempt is given up
constexpr double kRetryShare = 0.2;    // further attempts per answer; per send, tiers would multiply them
constexpr double kRetryBurst = 5;      // further attempts saved up at most
// Wait before asking for the members again. A change counts as told 6 s after discovery could be reached: a
// silence of 2.7 s, a call that hangs as long and both waits must fit. Sooner loads a discovery in trouble.
constexpr double kRewatch = 0.3;  // s
constexpr double kLogPeriod = 5;  // s; least time between two log lines of a kind
constexpr std::uint64_t kWatchTimer = 0;
constexpr std::size_t kStandInSteps = 4;  // of kMostLooked servers, for one that stands in for the subset

}  // namespace

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived = std::max(window_rate, last_second_rate);
  return perceived <= 0 ? 0 : std::clamp(1 - rate_limit / perceived, 0.0, 1.0);
}

std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count, std::size_t servers,
                                   std::size_t size) {
  std::vector<std::size_t> out;
  if (servers == 0 || replica_count == 0) return out;
  const std::size_t start = subset_start(replica_index, replica_count, servers);
  for (std::size_t i = 0; i < std::min(size, servers); ++i) out.push_back((start + i) % servers);
  return out;
}

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed), servers_(settings.zone) {
    validate(settings);
    settings_.classes.emplace_back();  // what is out of range lands here: unsafe, no aim of its own
    settings_.classes.back().timeout = settings_.classes.back().latency_objective = kForever;
    for (const RequestClass& c : settings_.classes) {
      const double aim = std::min(c.latency_objective, 60.0);
      latency_.push_back({aim / 4, aim / 8, 0});
    }
    for (const RequestClass& c : settings.classes) aim_.add(c.latency_objective, 0);
    for (const Tenant& told : settings_.tenants) share_ += told.quota.value_or(0) / settings_.replica_count;
    const double buckets = share_ > 0 ? std::round(kWindowCalls / share_ / kBucket) : 0;
    window_ = kBucket * std::clamp<double>(buckets, kLeastBuckets, kMostBuckets);
    settings_.tenants.emplace_back();
    for (const Tenant& told : settings_.tenants) tenants_.push_back(first_limit(told));
  }

  void handle(double now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    out_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  TenantView view(double now, std::size_t tenant) const {
    const TenantState& t = tenants_[std::min(tenant, tenants_.size() - 1)];
    const SlidingWindow::Sums sums = t.window.sums(now);
    return {t.limit, factor_of(t, sums), sums.total, sums.declined};
  }

  EndpointSetView members(double now) const {
    return servers_.view([&](const ServerNode& s) { return slowness(s, now) >= kIll; });
  }

 private:
  // ---------------------------------------------------------------- admit?

  TenantState first_limit(const Tenant& told) const {
    TenantState t(static_cast<int>(std::lround(window_ / kBucket)));
    const double share = settings_.tier > 0 ? kDeepFloorShare : kFloorShare;
    t.share_of_these = told.quota ? 0 : share;
    if (told.quota) {
      const double part = t.part = *told.quota / settings_.replica_count;
      const bool few = window_ > kBucket * kLeastBuckets;
      // Danger: with few calls a review is a matter of chance, and a copy that it may cut below the tenant's
      // part ends there: a third of a calm day was denied. A jam is let run off by the tier's room.
      t.floor = std::max(kFloorRate / settings_.replica_count, part * share);
      t.limit = std::max(t.floor, part * (few ? kSparseStart : kStartShare));
      t.worth = settings_.over_quota_priority_weight;
    }
    return t;
  }

  double factor_of(const TenantState& t, const SlidingWindow::Sums& sums) const {
    if (sums.total - sums.declined < t.limit * window_) return 0;
    if (sums.total >= t.limit * window_ * kHardLimitFactor) return 1;
    return suppression_factor(t.limit, sums.total / window_, sums.short_total);
  }

  // The three regimes of the source. The cached factor serves only between the two limits.
  bool admits(TenantState& t) {
    double factor = factor_of(t, t.window.sums(now_));
    if (factor > 0 && factor < 1) {
      if (now_ >= t.factor_until) {
        t.factor = factor;
        t.factor_until = now_ + kFactorCache;
      }
      factor = t.factor;
    }
    const bool admit = random_.unit() >= factor;
    t.window.add(now_, !admit);
    return admit;
  }

  // Learns a tenant's limit from how its calls end. A limit drops once per review at most, since calls that
  // end within a feedback delay were sent under the old one.
  void review(TenantState& t, bool bad, bool in_time) {
    t.count(now_, bad, in_time);
    if (now_ < t.next_review || (t.ended < kReviewCalls && !sparse())) return;
    const SlidingWindow::Sums sums = t.window.sums(now_);
    const double accepted = (sums.total - sums.declined) / window_;
    if (t.bad > kBadShare * t.ended) {
      t.limit = std::min(t.limit, std::max(accepted, t.part)) * kDrop;
    } else if (t.bad <= kFineShare * t.ended && accepted > t.limit / 2) {
      t.limit *= 1 + kRise * t.worth;
    }
    t.limit = std::max(t.limit, t.least(now_));
    t.ended = t.bad = 0;
    t.next_review = now_ + kReviewPeriod;
  }

  // ---------------------------------------------------------------- is it healthy?

  // Calls that may be in flight, over all copies, where nothing is measured yet: it fades as answers come.
  double unmeasured_room(double met_at) const {
    return kLeastRoom + kStartRoom * std::exp((met_at - now_) / kAnsweredMemory);
  }

  double idle_wait() const { return idle_.base * aim_.mean; }

  // Whether a further call would be answered well before its aim: calls in flight against the rate of
  // answers. Danger: a queue longer than the aim serves nobody, and where time-outs stop no work it feeds
  // itself. Danger: many small starts are a crowd; what is not measured is shared out by each copy's dither.
  bool has_room(const ServerNode& s) {
    if (settings_.tier > 0 || sparse()) return true;  // past tier 0 a refusal wastes what was done above
    // Danger: with many copies a server's room is less than one call at each, and a lasting dither shuts it
    // to most of them for good: a third of a day is refused before half-empty servers. Chance rounds it anew
    // for each call, and all servers together are the limit.
    const double rounding = thin() ? random_.unit() : s.dither;
    return s.in_flight + rounding <
           unmeasured_room(s.met_at) / subset_.sharers() + kQueueFactor * idle_wait() * s.answered.at(now_);
  }

  // Whether this copy's part of an average server's room is too few calls to be counted in whole ones.
  bool thin() const {
    const double calls = kQueueFactor * idle_wait() * std::max(share_, admitted_.at(now_));
    return calls / static_cast<double>(servers_.ready().size()) + kLeastRoom / subset_.sharers() < kThinRoom;
  }

  // The same for all servers. Danger: calls go where a server's noisy measure is in their favour.
  bool tier_has_room() const {
    if (settings_.tier > 0) return true;
    // Calls in flight on average against the rate of answers tell how long answers take.
    // Danger: a copy with few calls has learned no usual answer time for its first seconds; where an idle
    // tier is slower than the start's assumption, each of many copies refuses a third of a calm fleet's
    // calls.
    const double usual = idle_.learned || !thin() ? idle_wait() : kMostBase * aim_.mean;
    const double room = kTierFactor * usual * answered_.at(now_);
    if (sparse())
      return in_flight_.mean(now_) <
             kSparseSlack + kSparseStartCalls * std::exp((met_at_ - now_) / kTierMemory) + room;
    const double start = unmeasured_room(met_at_) * static_cast<double>(subset_.size()) / subset_.sharers();
    return in_flight_.level() < 1 + start + room;
  }

  // Whether calls in flight are too few to judge by at one moment. Danger: with one call out on average,
  // three at once are chance; refusing for them sheds a tenth of a calm day.
  bool sparse() const { return std::max(share_, admitted_.at(now_)) * idle_wait() < kFewCalls; }

  // What this copy's part of the tier would answer for each call that it answers now.
  double per_answer() {
    if (whole_.at == now_) return whole_.per_answer();  // asked for each cold server
    whole_ = WholeTier();
    whole_.at = now_;
    for (const std::uint32_t i : subset_.few()) {
      const ServerNode& s = servers_[i];
      whole_.add(s.told.weight, warmth(s.told, settings_, now_), slowness(s, now_) < kIll);
    }
    return whole_.per_answer();
  }

  // Whether a cold server's budget at this copy has room. Danger: all copies together can push a cold server
  // over; each spends no more than the server's part of its own traffic, scaled to what it can do so far. A
  // burst is no reason to send it more: what the tenants may send in all is what the tier bears.
  bool budget_allows(ServerNode& s) {
    const double warm = warmth(s.told, settings_, now_), told = s.answers.at(now_).weight;
    if (warm >= 1) return true;
    const double idle = idle_.learned ? idle_.base : kMostBase;
    const double against_idle = slowness(s, now_) * std::max(1.0, tier_answer_.mean / idle);
    const double part = cold_part(settings_, warm, against_idle, told / (kPriorAnswers + told));
    const double size = s.told.weight / servers_.ready_weight();
    const double most = settings_.tier == 0 && share_ > 0 ? share_ : kForever;
    return s.cold.refill(now_, std::min(admitted_.at(now_), most) * part * size, answers_,
                         per_answer() * cold_most(settings_, warm) * size, settings_.overload_window);
  }

  // ---------------------------------------------------------------- which server?

  // How much of the traffic a server should get: its size and what it is worth now.
  double worth_now(const ServerNode& s) const {
    return (is_far(s) ? far_part_ : 1) * s.told.weight / std::pow(slowness(s, now_), kSlowPower);
  }

  bool is_far(const ServerNode& s) const { return subset_.stays() && s.told.zone != settings_.zone; }

  // Answer time in comparison with the tier's. Calls still out count for as long as they have been: a server
  // that is silent or crowded shows before its calls end. Danger: few answers tell little, old ones nothing.
  double slowness(const ServerNode& s, double now) const {
    const double usual = std::max(tier_answer_.mean, kLeastUsual);
    const double open = (s.in_flight * now - s.sent_sum) / std::max(aim_.mean, 0.001);
    const support::DecayingMean::Sum told = s.answers.at(now);
    return std::max((kPriorAnswers * usual + told.sum + open) / ((kPriorAnswers + told.weight) * usual),
                    kQuickest);
  }

  // Danger: a copy with nothing in flight would always take the larger of two; so size counts in the draw.
  std::size_t draw() {
    double at = random_.unit() * choice_worth_;
    std::size_t i = 0;
    while (i + 1 < choice_.size() && (at -= choice_[i].second) >= 0) ++i;
    return i;
  }

  bool in_scope(const Pending& p, const ServerNode& s) const {
    const RequestClass& c = settings_.classes[p.request_class];
    for (const Attempt& a : p.attempts) {
      if (!a.may_have_run || c.idempotency == Idempotency::kIdempotent) continue;
      if (c.idempotency == Idempotency::kNotIdempotent || now_ > a.sent + c.dedup_window) return false;
      if (c.dedup_scope == DedupScope::kZone && a.zone != s.told.zone) return false;
      if (c.dedup_scope == DedupScope::kCell && a.cell != s.told.cell) return false;
    }
    return true;
  }

  // Gathers the servers looked at that may be used; returns whether there is one.
  bool gather(const Pending& p, bool only_healthy, bool only_untried) {
    choice_.clear();
    choice_worth_ = 0;
    const support::DecayingMean::Sum near = near_.at(now_), far = far_.at(now_);
    const double hoped = idle_.base / std::max(tier_answer_.mean, idle_.base);  // of zones not tried lately
    const double better = (near.sum + 1) * (far.weight + 1) / ((far.sum + hoped) * (near.weight + 1));
    far_part_ =
        kFarPart * std::max(0.0, std::pow(better, kZonePower) - kZoneChance) / settings_.cross_zone_cost;
    for (const std::uint32_t i : looked_) {
      ServerNode& s = servers_[i];
      if (only_healthy && slowness(s, now_) >= kIll) continue;
      if (!has_room(s) || (only_untried && p.tried(s.order))) continue;
      if (!in_scope(p, s) || !budget_allows(s)) continue;
      choice_.emplace_back(i, worth_now(s));
      choice_worth_ += choice_.back().second;
    }
    return !choice_.empty();
  }

  // All servers that may get its next attempt. Danger: where many may not, looks at random miss those that
  // drop repeats of what may have run.
  support::CircularRange in_reach(const Pending& p) const {
    const RequestClass& c = settings_.classes[p.request_class];
    const bool bound = c.idempotency == Idempotency::kIdempotencyKey && c.dedup_scope != DedupScope::kAll;
    if (!bound || servers_.ready().size() <= kMostLooked) return servers_.all();
    for (const Attempt& a : p.attempts) {
      if (!a.may_have_run) continue;
      return c.dedup_scope == DedupScope::kZone ? servers_.of_zone(a.zone) : servers_.of_cell(a.cell);
    }
    return servers_.all();
  }

  // The less busy of two random members of the subset. Where the subset has too few that are well, others
  // stand in; where none is well the cause is shared and health does not count. Danger: one call that looks
  // at some thousand servers holds up all others. Of many each step looks at some, and the next step or call
  // at those that follow: where one in 50 can be used, a call misses them all once in 170 times.
  std::optional<std::size_t> pick(const Pending& p) {
    if (!tier_has_room()) return std::nullopt;
    subset_.look(random_, looked_);
    bool found = gather(p, true, true) && choice_.size() * 2 >= looked_.size();
    const support::CircularRange others = in_reach(p);
    for (std::size_t step = 0, seen = 0; !found && step < kStandInSteps; ++step) {
      subset_.look_on(others, looked_);
      found = gather(p, true, true);
      if ((seen += looked_.size()) >= others.size) break;
    }
    if (!found && !gather(p, false, true) && !gather(p, false, false)) return std::nullopt;
    const auto [a, worth_a] = choice_[draw()];
    const auto [b, worth_b] = choice_[draw()];
    return servers_[b].in_flight * worth_a < servers_[a].in_flight * worth_b ? b : a;
  }

  // ---------------------------------------------------------------- how long?

  // An attempt may run until the answer is worthless, or until it is clearly late while another can follow.
  double timeout(const Pending& p) const {
    const double left = p.useful_until - now_;
    const support::SampledEstimate& usual = latency_[p.request_class];
    const double longest = usual.mean + kDeviations * usual.deviation;
    const bool can_repeat = settings_.classes[p.request_class].idempotency != Idempotency::kNotIdempotent &&
                            p.attempts.size() + 1 < static_cast<std::size_t>(settings_.max_attempts);
    return can_repeat && left - longest > usual.mean ? longest : left;
  }

  // ---------------------------------------------------------------- again?

  bool worth_another(const Pending& p) const {
    return !p.streaming && !p.once && p.attempts.size() < static_cast<std::size_t>(settings_.max_attempts) &&
           retry_tokens_ >= p.retry_cost() && p.useful_until - now_ > latency_[p.request_class].mean / 2;
  }

  // A refusal promises that a repeat is harmless: only when nothing can have run, or repeats are dropped.
  bool may_refuse(const Pending& p) const {
    const RequestClass& c = settings_.classes[p.request_class];
    if (c.idempotency == Idempotency::kIdempotent) return true;
    if (c.idempotency == Idempotency::kIdempotencyKey && c.dedup_scope == DedupScope::kAll) return true;
    return !p.may_have_run();
  }

  // ---------------------------------------------------------------- doing it

  bool send(const std::string& id, Pending& p) {
    const std::optional<std::size_t> server = pick(p);
    if (!server) return false;
    ServerNode& s = servers_[*server];
    const double limit = timeout(p);
    if (limit <= 0) return false;
    if (!p.attempts.empty()) retry_tokens_ -= p.retry_cost();
    if (warmth(s.told, settings_, now_) < 1) s.cold.spend();
    p.attempts.push_back({*server, s.order, s.told.zone, s.told.cell, now_});
    if (!p.body_arriving) enter(p.attempts.back());
    out_->push_back(SendAttempt{id, s.told.address, limit, window_left(p, settings_.classes, now_)});
    return true;
  }

  void answer_unserved(const std::string& id, Pending& p) {
    out_->push_back(may_refuse(p) ? Action{RejectRequest{id, settings_.max_retry_after / 2}}
                                  : Action{FailRequest{id}});
    p.finished = true;
  }

  void note_shed(int& count) {
    if (denied_ + unplaced_ == 0) next_log_ = now_ + kLogPeriod;  // one line for what is shed in a period
    if (++count; now_ < next_log_) return;
    out_->push_back(LogLine{"shedding: " + std::to_string(denied_) + " over their tenant's limit, " +
                            std::to_string(unplaced_) + " without a server with room"});
    denied_ = unplaced_ = 0;
  }

  void cancel_open(const std::string& id, const Pending& p) {
    if (!settings_.cancel_allowed || p.streaming) return;
    for (std::size_t i = 0; i < p.attempts.size(); ++i) {
      if (p.attempts[i].open) out_->push_back(CancelAttempt{id, static_cast<int>(i)});
    }
  }

  // ---------------------------------------------------------------- events

  void on(const Started&) {
    if (settings_.requires_watch) out_->push_back(WatchEndpoints{});
  }

  void on(const Request& r) {
    if (pending_.contains(r.id)) return;
    const std::size_t tenant = std::min(r.tenant, tenants_.size() - 1);
    if (!admits(tenants_[tenant])) {
      out_->push_back(RejectRequest{r.id, settings_.max_retry_after / 2});
      note_shed(denied_);
      return;
    }
    admitted_.add(now_);
    Pending& p = pending_[r.id];
    p.tenant = tenant;
    p.body_arriving = r.body_arriving;
    p.request_class = std::min(r.request_class, settings_.classes.size() - 1);
    const RequestClass& c = settings_.classes[p.request_class];
    if (std::isfinite(c.latency_objective)) aim_.add(std::min(c.latency_objective, c.timeout), kLatencyGain);
    const double aim = std::min(
        c.latency_objective + c.latency_objective_per_work * r.announced_work.value_or(0), c.timeout);
    const double useful = c.late_priority_weight > 0
                              ? r.time_left
                              : std::min(r.time_left, aim - 2 * settings_.clock_granularity);
    p.useful_until = now_ + useful;
    if (send(r.id, p)) return;
    if (!sparse()) review(tenants_[tenant], true, false);
    note_shed(unplaced_);
    answer_unserved(r.id, p);
    pending_.erase(r.id);
  }

  void on(const AttemptResult& r) {
    const auto [request, a] = find(r.id, r.attempt);
    if (a == nullptr) return;
    Pending& p = *request;
    a->end(r.outcome);
    leave(*a);
    learn_from(p, *a, r.outcome, r.elapsed);
    if (r.request_done && !p.finished) {
      p.finished = true;
      cancel_open(r.id, p);
    }
    if (!p.finished && !p.any_open() && !(worth_another(p) && send(r.id, p))) answer_unserved(r.id, p);
    if (p.finished && !p.any_open()) pending_.erase(r.id);
  }

  // The attempt that an event names, if it is still out, and its request.
  std::pair<Pending*, Attempt*> find(const std::string& id, int attempt) {
    const auto it = pending_.find(id);
    const auto at = static_cast<std::size_t>(attempt);  // below 0 is past the end too
    if (it == pending_.end() || at >= it->second.attempts.size()) return {};
    Attempt& a = it->second.attempts[at];
    return a.open ? std::pair(&it->second, &a) : std::pair<Pending*, Attempt*>();
  }

  // A server has an attempt. Danger: while a body takes its client's time its server has nothing to do;
  // counted as work in flight, some slow clients shut the tier to all others.
  void enter(Attempt& a) {
    if (servers_[a.endpoint].order != a.order) return;  // it has gone meanwhile, and its slot to another
    a.in_flight = true;
    a.sent = now_;
    servers_[a.endpoint].in_flight += 1;
    servers_[a.endpoint].sent_sum += now_;
    servers_.trace(a.endpoint, now_);
    in_flight_.change(now_, 1);
  }

  // It is done with it, or nobody waits.
  void leave(Attempt& a) {
    servers_.trace(a.endpoint, now_);
    if (!std::exchange(a.in_flight, false)) return;
    servers_[a.endpoint].in_flight -= 1;
    servers_[a.endpoint].sent_sum -= a.sent;
    in_flight_.change(now_, -1);
  }

  void learn_from(const Pending& p, Attempt& a, Outcome outcome, double elapsed) {
    if (std::exchange(a.learned, true) || servers_[a.endpoint].order != a.order) return;
    ServerNode& s = servers_[a.endpoint];
    const bool was_well = slowness(s, now_) < kIll;
    if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return;
    const bool answered = outcome == Outcome::kSuccess;
    const double aim = settings_.classes[p.request_class].latency_objective;
    const double part_of_aim = aim > 0 ? elapsed / aim : 0;
    if (answered) {
      retry_tokens_ = std::min(kRetryBurst, retry_tokens_ + kRetryShare);
      s.answered.add(now_);
      answered_.add(now_);
      ++answers_;
      idle_.add(now_, part_of_aim);
    }
    if (answered || outcome == Outcome::kTimedOut) {
      latency_[p.request_class].add(elapsed, kLatencyGain);
      tier_answer_.add(part_of_aim, kLatencyGain);
    }
    if (outcome != Outcome::kRejected) {
      const double took = answered ? part_of_aim : std::max(part_of_aim, kFailed * tier_answer_.mean);
      s.answers.add(now_, took);
      (is_far(s) ? far_ : near_).add(now_, std::min(took / std::max(tier_answer_.mean, 0.01), kIll));
    }
    // Errors and broken connections tell nothing of the room behind a limit: they neither lower nor raise it.
    if (outcome == Outcome::kServerError || outcome == Outcome::kConnectionReset ||
        outcome == Outcome::kUnknown)
      return;
    const bool bad = !answered || part_of_aim > kInTime;  // one sick server is no reason to cut a tenant
    if (was_well || !bad) review(tenants_[p.tenant], bad, answered && part_of_aim <= 1);
  }

  void on(const ResponseStarted& r) {
    const auto [p, a] = find(r.id, r.attempt);
    if (a == nullptr) return;
    p->streaming = true;
    // The answer counts from its first byte. Danger: how long a large one takes to pass tells of its size and
    // of the client; learned as an answer time it would shun the server.
    leave(*a);
    learn_from(*p, *a, Outcome::kSuccess, r.elapsed);
  }

  void on(const RequestBodySent& r) {
    const auto [p, a] = find(r.id, r.attempt);
    if (a == nullptr || !std::exchange(p->body_arriving, false)) return;
    p->useful_until += now_ - a->sent;
    if (!p->streaming) enter(*a);
  }

  void on(const RequestBodyConsumed& r) {
    const auto it = pending_.find(r.id);
    if (it != pending_.end()) it->second.once = true;
  }

  void on(const RequestAborted& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end()) return;
    if (!it->second.finished) cancel_open(r.id, it->second);
    it->second.finished = true;
    if (!it->second.any_open()) pending_.erase(it);
  }

  void on(const EndpointUpdate& update) {
    if (update.form == EndpointUpdate::Form::kWatchFailed) {
      if (!settings_.requires_watch) return;
      const double most =
          settings_.poll_within > 0 ? std::min(settings_.poll_within / 2, kRewatch) : kRewatch;
      out_->push_back(SetTimer{now_ + most * (0.5 + random_.unit() / 2), kWatchTimer});
      return;
    }
    met_at_ = std::min(met_at_, now_);
    servers_.learn(update, now_, answers_, random_);
    subset_.choose(settings_, servers_);
  }

  void on(const TimerFired& timer) {
    if (timer.token == kWatchTimer && settings_.requires_watch) out_->push_back(WatchEndpoints{});
  }

  Settings settings_;
  Random random_;
  double now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::vector<TenantState> tenants_;
  double share_ = 0;  // calls/s within the allowances that this copy may expect
  double window_ = kBucket * kLeastBuckets;
  support::SampledEstimate aim_;                   // of the calls that come
  support::SampledEstimate tier_answer_;           // answer time of the tier, as a part of the aim
  IdleTime idle_;                                  // of the tier
  std::vector<support::SampledEstimate> latency_;  // by class
  Members servers_;
  Subset subset_;
  std::vector<std::uint32_t> looked_;                   // servers looked at for a call
  std::vector<std::pair<std::size_t, double>> choice_;  // of these, to choose from, with their worth now
  double choice_worth_ = 0;
  support::DecayingMean near_{kAnswerMemory, kZoneAnswers},
      far_{kAnswerMemory, kZoneAnswers};  // answer times
  double far_part_ = 0;
  support::DecayingRate admitted_{kAdmittedMemory}, answered_{kTierMemory};
  std::uint64_t answers_ = 0;
  support::DecayingLevel in_flight_{kTierMemory};
  WholeTier whole_;
  double met_at_ = kForever;
  double retry_tokens_ = kRetryBurst;
  int denied_ = 0, unplaced_ = 0;  // since the last log line
  double next_log_ = kForever;
  std::unordered_map<std::string, Pending> pending_;  // looked up, never walked: order would not be stable
};

Balancer::Balancer(const Settings& s, std::uint64_t seed) : impl_(std::make_unique<Impl>(s, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(double now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

TenantView Balancer::tenant(double now, std::size_t tenant) const { return impl_->view(now, tenant); }

EndpointSetView Balancer::endpoints(double now) const { return impl_->members(now); }

}  // namespace asterdrift::balancer
