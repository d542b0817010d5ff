#include "relay/callsender.h"

#include <memory>
#include <utility>
#include <variant>

namespace relay {

CallSender::CallSender(const base::Clock &Time, const base::ProcessId &Self,
                       transport::PeerTransport &Peers)
    : Peers(Peers), Tracker(Time, Self) {}

base::RequestId CallSender::send(const routing::UpstreamChoice &Target,
                                 base::BootTime Deadline, CallFrame Message,
                                 Callback Done) {
  execution::CallSpec Spec;
  Spec.Target = Target.Process;
  Spec.Deadline = Deadline;
  Spec.Idempotent = Message.Context.Idempotent;
  Message.Context.Identity = Tracker.open(Spec);
  const base::RequestId Id = Message.Context.Identity.Id;
  Calls.emplace(Id, Waiting{Target.Peer, std::move(Done), {}});
  const transport::ConnectionId Connection = Peers.connectionTo(Target.Peer);
  if (Tracker.beginSend(Id, execution::ConnectionId(Connection.value())) &&
      !Peers.send(Connection, makeFrame(FrameType::Call, Message))) {
    // The frame has not left, so the fence will find that it never arrived.
    Tracker.onConnectionLost(execution::ConnectionId(Connection.value()));
  }
  return Id;
}

void CallSender::cancel(const base::RequestId &Id) {
  Tracker.cancel(Id);
  runActions();
}

void CallSender::onAnswer(CallAnswerFrame Message) {
  const auto Found = Calls.find(Message.Id);
  if (Found != Calls.end()) {
    CallEnding &Ending = Found->second.Ending;
    Ending.Load = static_cast<std::int32_t>(Message.Load);
    Ending.Slots = Message.Slots;
    Ending.Congested = Message.Congested;
    Ending.Times = Message.Times;
  }
  Tracker.onResponse(Message.Id, std::make_shared<execution::Response>(
                                     std::move(Message.Answer)));
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
    if (auto *Settled = std::get_if<execution::CallCompleted>(&Action))
      settle(*Settled);
    else
      sendFence(std::get<execution::SendFence>(Action).Message);
  }
}

void CallSender::settle(execution::CallCompleted &Settled) {
  auto Node = Calls.extract(Settled.Id);
  if (!Node)
    return;
  Node.mapped().Ending.Verdict = std::move(Settled.Completion);
  Node.mapped().Done(std::move(Node.mapped().Ending));
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
