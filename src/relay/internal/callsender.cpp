#include "relay/callsender.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace relay {

namespace {

constexpr double kPercent = 100;

} // namespace

CallSender::CallSender(const base::Clock &Clock, const base::ProcessId &Self,
                       transport::PeerTransport &Peers)
    : Peers(Peers), Tracker(Clock, Self) {}

base::CallId CallSender::send(const routing::UpstreamChoice &Target,
                              base::BootTime Deadline, CallFrame Message,
                              Callback Done) {
  execution::CallSpec Spec;
  Spec.Target = Target.Process;
  Spec.Deadline = Deadline;
  Spec.Idempotent = Message.Context.Idempotent;
  Message.Context.Identity = Tracker.open(Spec);
  const base::CallId Id = Message.Context.Identity.Id;
  Calls.emplace(Id, PendingCall{Target.Peer, std::move(Done), {}});
  const transport::ConnectionId Connection = Peers.connectionTo(Target.Peer);
  // A call whose frame was not sent has not run. Other calls on the connection
  // aren't affected, since it may just be that its queue is full.
  if (!Peers.send(Connection, makeFrame(FrameType::Call, Message)) ||
      !Tracker.beginSend(Id, execution::ConnectionId(Connection.value())))
    Tracker.onConnectFailed(Id);
  return Id;
}

void CallSender::remind(const routing::UpstreamChoice &Target,
                        const ServerReminder &Reminder) {
  Peers.send(Peers.connectionTo(Target.Peer),
             makeFrame(FrameType::ServerReminder, Reminder));
}

void CallSender::cancel(const base::CallId &Id) {
  Tracker.cancel(Id);
  runActions();
}

void CallSender::onCallResponse(CallResponseFrame Message) {
  const auto Found = Calls.find(Message.Id);
  if (Found != Calls.end()) {
    CallSummary &Summary = Found->second.Summary;
    Summary.Load = static_cast<std::int32_t>(Message.Load);
    Summary.Slots = Message.Slots;
    Summary.Congested = Message.Congested;
    Summary.Times = Message.Times;
    Summary.FailureShare = std::min(1.0, Message.FailurePercent / kPercent);
  }
  Tracker.onResponse(Message.Id, std::make_shared<execution::Response>(
                                     std::move(Message.Response)));
  runActions();
}

void CallSender::onFenceReply(const execution::FenceReply &Reply) {
  Tracker.onFenceReply(Reply);
  runActions();
}

void CallSender::onConnectionClosed(transport::ConnectionId Connection) {
  Tracker.onConnectionLost(execution::ConnectionId(Connection.value()));
  runActions();
}

void CallSender::tick() {
  Tracker.tick();
  runActions();
}

void CallSender::runActions() {
  for (execution::CallAction &Action : Tracker.takeActions()) {
    if (auto *Completed = std::get_if<execution::CallCompleted>(&Action))
      complete(*Completed);
    else
      sendFence(std::get<execution::SendFence>(Action).Message);
  }
}

void CallSender::complete(execution::CallCompleted &Completed) {
  auto Node = Calls.extract(Completed.Id);
  if (!Node)
    return;
  Node.mapped().Summary.Completion = std::move(Completed.Completion);
  Node.mapped().Done(std::move(Node.mapped().Summary));
}

void CallSender::sendFence(const execution::Fence &Fence) {
  const auto Found = Calls.find(Fence.Identity.Id);
  if (Found == Calls.end())
    return;
  const transport::ConnectionId Connection =
      Peers.connectionTo(Found->second.Peer);
  Tracker.onFenceSent(Fence.Identity.Id,
                      execution::ConnectionId(Connection.value()));
  if (!Peers.send(Connection, makeFrame(FrameType::Fence, Fence)))
    Tracker.onConnectFailed(Fence.Identity.Id);
}

} // namespace relay
