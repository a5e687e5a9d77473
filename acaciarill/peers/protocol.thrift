// Messages between daemons. Each Frame contains one of its optional members.

// The first message on a connection, from the daemon that opened it.
struct Greeting {
  1: i32 protocol_version,
  2: string daemon,
  3: string incarnation,
  4: string data_centre,
}

// Tells the receiver which state the sender has. The digests are checksums: of the withdrawn key
// ids and of the host list.
struct Heartbeat {
  1: optional string daemon, // not sent: the receiver sets it to the name in the greeting
  2: i64 revision,
  3: i32 withdrawn_digest,
  4: i32 hosts_digest,
  5: binary loads,
  6: binary demand,
}

// `contact_ages` is the time since the last contact with the store and with each data centre, in the
// order of the sender's list of data centres. `places_digest` is the checksum of that list.
struct HeartbeatReply {
  1: i64 revision,
  2: i32 withdrawn_digest,
  3: i32 hosts_digest,
  4: binary contact_ages,
  5: binary loads,
  6: binary demand,
  7: i32 places_digest,
}

// Tells a connected daemon that the sender has newer state to fetch. It gets no response.
struct Notify {
}

// Requests the configuration. `known_digests` maps the owner of each section that the sender has to
// the section's digest.
struct FetchConfig {
  1: map<string, string> known_digests,
}

// `data` is empty for a section whose digest the requester sent.
struct SectionData {
  1: string owner,
  2: string digest,
  3: binary data,
}

struct ConfigData {
  1: i64 revision,
  2: list<SectionData> sections,
}

// Sends the withdrawn API keys that the sender has; the response is the union with the receiver's.
struct Withdrawals {
  1: list<string> key_ids,
}

// Requests the changes of the host list since the one with the digest.
struct FetchHosts {
  1: i32 known_digest,
}

struct HostData {
  1: string name,
  2: string role,
  3: string data_centre,
  4: string state,
  5: string address,
}

// `whole` tells that `hosts` is the complete list, not the changes.
struct HostsData {
  1: list<HostData> hosts,
  2: list<string> removed,
  3: bool whole,
}

struct Header {
  1: binary name,
  2: binary value,
}

// Forwards a client's request to a daemon of a data centre that has upstreams for its target. The
// response is a stream: ForwardHead, any number of ForwardChunk, and ForwardEnd, which reports how
// the request ended and comes first if it failed before the head.
struct Forward {
  1: string request_id,
  2: string customer,
  3: string target,
  4: string method,
  5: string path,
  6: list<Header> headers,
  7: binary body,
  8: i32 deadline_ms,
  9: bool idempotent,
  10: string trace_parent,
}

struct ForwardHead {
  1: i32 status,
  2: list<Header> headers,
}

struct ForwardChunk {
  1: binary data,
}

struct ForwardEnd {
  1: string outcome,
  2: string code,
  3: string message,
  4: string step,
  5: double retry_after_s,
}

// A group of samples of a training step, all generated from one prompt.
struct GroupSpec {
  1: i32 group,
  2: string prompt,
  3: i32 samples,
  4: i32 max_tokens,
}

// A run of consecutive tokens of a sample that one weight version generated.
struct VersionSpan {
  1: i64 version,
  2: i32 tokens,
}

struct Sample {
  1: i32 group,
  2: i32 index,
  3: string text,
  4: list<VersionSpan> spans,
  5: double score,
  6: string sample_id,
}

// A group and the bitmap of its delivered samples, little-endian.
struct GroupWanted {
  1: i32 group,
  2: binary delivered,
}

// Assigns groups of a step to a daemon, which generates them if `generate` is set and otherwise
// stores their specifications only. `finished` and `delivered` transfer the state of a draining
// daemon.
struct HoldGroups {
  1: string customer,
  2: string trainer,
  3: string step,
  4: string digest,
  5: string model,
  6: list<GroupSpec> groups,
  7: bool generate,
  8: list<Sample> finished,
  9: list<GroupWanted> delivered,
}

struct HoldReply {
  1: bool accepted,
  2: string code,
}

// Requests undelivered samples of groups. With `promote`, the receiver starts to generate the
// groups of which it has only a copy.
struct Gather {
  1: string customer,
  2: string trainer,
  3: string step,
  4: string digest,
  5: list<GroupWanted> groups,
  6: i64 weight_version,
  7: i32 staleness_bound,
  8: i32 limit,
  9: bool promote,
}

// `generating` and `copies` are the requested groups that the sender generates or has a copy of.
struct GatherReply {
  1: list<Sample> samples,
  2: list<i32> generating,
  3: list<i32> copies,
}

// The usage of one customer in one window.
struct UsageSlot {
  1: string customer,
  2: i32 requests,
  3: i32 tokens,
}

// Replicates usage counts of one window, which starts at `window` and belongs to one incarnation of
// a daemon.
struct UsageCopies {
  1: string owner,
  2: i64 window,
  3: string incarnation,
  4: list<UsageSlot> slots,
}

// Checks whether a daemon is alive and sends the sender's own state. `newest` is the version of the
// latest change in each of its mirrors, by kind; `crash_digest` is the checksum of its crash records.
// `is_cut_off` says that the sender has lost its own links to the upstreams. `incarnation` differs
// after each restart of the sender.
struct Ping {
  1: string daemon,
  2: string address,
  3: string data_centre,
  4: string role,
  5: map<string, i64> newest,
  6: bool store_reached,
  7: bool draining,
  8: i64 crash_digest,
  9: bool is_cut_off,
  10: optional string incarnation,
}

// Requests a mirror, which the protocol calls a view.
struct FetchView {
  1: string kind,
}

struct ViewData {
  1: i64 position,
  2: binary records,
  3: i64 newest,
}

// Waits up to `wait_ms` for changes of mirrors after the given positions, by kind.
struct WatchViews {
  1: map<string, i64> positions,
  2: i32 wait_ms,
}

// The changes of one mirror after the requested position, or all of its records if the sender no
// longer has these changes. `lost_s_ago` is the time since its last outage of the store ended.
struct ViewChanges {
  1: i64 position,
  2: i64 newest,
  3: optional binary records,
  4: optional binary changes,
  5: optional double lost_s_ago,
}

// `failing` lists the kinds whose mirror the sender currently fails to keep up to date.
struct ViewsChanged {
  1: map<string, ViewChanges> views,
  2: optional list<string> failing,
}

// Relays a call to the object store for a daemon whose own calls the store rejects or does not
// respond to.
struct StoreCall {
  1: string method,
  2: string target,
  3: binary body,
  4: i32 timeout_ms,
}

struct StoreAnswer {
  1: i32 status,
  2: binary body,
}

// Waits up to `wait_ms` for results of a batch after a position, from its owner.
struct ReadBatch {
  1: string batch,
  2: i32 after,
  3: i32 wait_ms,
}

struct BatchResults {
  1: i32 total,
  2: i32 next_position,
  3: binary results,
}

// Requests the request counts since a window.
struct CollectUsage {
  1: i64 first_window,
}

struct CollectedUsage {
  1: string incarnation,
  2: map<i64, map<string, i32>> counts,
}

// Announces which version of a model an engine has loaded. `lifetime` differs after each restart of
// the engine.
struct VersionSeen {
  1: string upstream,
  2: string lifetime,
  3: string model,
  4: i32 version,
}

// Sends a batch to the daemon that its head names as the owner.
struct OwnBatch {
  1: string batch,
  2: i64 revision,
  3: binary head,
  4: binary body,
  5: binary texts,
}

// Requests permission to send one request to an upstream that accepts `limit` requests per second.
// `upstream` names one lifetime of it. `limit_age_s` is the time since a response to the requester
// named the limit. The requester would wait for up to `max_wait_s`.
struct TakePermit {
  1: string upstream,
  2: double limit,
  3: double limit_age_s,
  4: double max_wait_s,
}

// `wait_s` is the time until the request may be sent, or until it should be tried again if it is not
// granted. `next_s` is the time until the next permit falls due. `limit_lifted` says that a later
// response of the upstream named no limit.
struct IssuedPermit {
  1: bool granted,
  2: double wait_s,
  3: double next_s,
  4: bool limit_lifted,
}

// Tells the issuer of an upstream's permits that a response of the upstream named no limit any more.
struct LimitLifted {
  1: string upstream,
}

// The crashes of upstreams while a request ran there, by the request's key, as JSON. The receiver
// merges them with its own.
struct CrashRecords {
  1: binary records,
}

// Requests all crash records of the receiver.
struct FetchCrashes {
}

// Requests permission to send a request as a trial after upstreams crashed when it ran. `records` are
// the sender's crash records of that request, which the receiver may lack.
struct TakeTrial {
  1: string request_key,
  2: string attempt_id,
  3: binary records,
}

// `retry_after_s` is missing if no further trial will be granted. `is_pending` says that another
// attempt has the trial, whose outcome is not known yet.
struct IssuedTrial {
  1: bool granted,
  2: optional double retry_after_s,
  3: bool is_pending,
}

// Tells which software version of a service began a stream; `stream` is the id of the request that
// brought its first event. It is to be known for `remaining_s`, by default for 5 minutes. `teller` is
// the incarnation of the sender, which sees to it that enough daemons know the stream.
struct StreamBegun {
  1: string stream,
  2: string software_version,
  3: optional double remaining_s,
  4: optional string teller,
}

// Tells the same of several streams.
struct StreamsBegun {
  1: list<StreamBegun> streams,
  2: string teller,
}

// Asks which software version began a stream.
struct FindStream {
  1: string stream,
}

// `software_version` is missing if the sender does not know the stream.
struct FoundStream {
  1: optional string software_version,
  2: optional double remaining_s,
}

// Asks the receiver to send a request to an upstream, once, for a daemon that has lost its own links.
// `lifetime` differs after each restart of the upstream. The response is a stream: ForwardHead, any
// number of ForwardChunk, and ForwardEnd. A connection carries one such call at a time; closing it
// ends the call.
struct Relay {
  1: string daemon,
  2: string upstream,
  3: string lifetime,
  4: string request_id,
  5: string method,
  6: string target,
  7: list<Header> headers,
  8: binary body,
}

// Confirms a call whose response has no contents.
struct Done {
}

// Reports the error of a call instead of its response.
struct Failed {
  1: string outcome,
  2: string code,
  3: string message,
  4: string step,
}

// `call_id` matches responses to calls; it is 0 for messages without a response.
struct Frame {
  1: i32 call_id,
  2: optional Greeting greeting,
  3: optional Heartbeat heartbeat,
  4: optional HeartbeatReply heartbeat_reply,
  5: optional Notify notify,
  6: optional FetchConfig fetch_config,
  7: optional ConfigData config_data,
  8: optional Withdrawals withdrawals,
  9: optional FetchHosts fetch_hosts,
  10: optional HostsData hosts_data,
  11: optional Forward forward,
  12: optional ForwardHead forward_head,
  13: optional ForwardChunk forward_chunk,
  14: optional ForwardEnd forward_end,
  15: optional HoldGroups hold_groups,
  16: optional HoldReply hold_reply,
  17: optional Gather gather,
  18: optional GatherReply gather_reply,
  19: optional UsageCopies usage_copies,
  20: optional Done done,
  21: optional Failed failed,
  22: optional Ping ping,
  23: optional FetchView fetch_view,
  24: optional ViewData view_data,
  25: optional StoreCall store_call,
  26: optional StoreAnswer store_answer,
  27: optional ReadBatch read_batch,
  28: optional BatchResults batch_results,
  29: optional CollectUsage collect_usage,
  30: optional CollectedUsage collected_usage,
  31: optional VersionSeen version_seen,
  32: optional OwnBatch own_batch,
  33: optional WatchViews watch_views,
  34: optional ViewsChanged views_changed,
  35: optional TakePermit take_permit,
  36: optional IssuedPermit issued_permit,
  37: optional LimitLifted limit_lifted,
  38: optional CrashRecords crash_records,
  39: optional FetchCrashes fetch_crashes,
  40: optional TakeTrial take_trial,
  41: optional IssuedTrial issued_trial,
  42: optional StreamBegun stream_begun,
  43: optional FindStream find_stream,
  44: optional FoundStream found_stream,
  45: optional Relay relay,
  46: optional StreamsBegun streams_begun,
}

// The progress of a consumer of a step. A trainer sends it with each pull, as an opaque string.
struct Cursor {
  1: string digest,
  2: string model,
  3: i32 staleness_bound,
  4: i32 consumers,
  5: i32 consumer,
  6: list<i16> group_sizes,
  7: binary delivered,
}
