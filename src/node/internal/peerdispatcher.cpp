#include "node/peerdispatcher.h"

namespace node {

template <typename Message, typename Consumer>
void PeerDispatcher::with(const transport::Frame &Received, Consumer &&Use) {
  auto Decoded = base::decode<Message>(Received.Body);
  if (Decoded)
    Use(std::move(*Decoded));
  else
    Shared.Metrics.counter("peer_messages_malformed_total").add();
}

void PeerDispatcher::onFrame(transport::ConnectionId Connection,
                             const base::ProcessId &,
                             transport::Frame Received) {
  if (PeerServices *Services = Target.load())
    dispatch(*Services, Connection, Received);
}

void PeerDispatcher::onClosed(transport::ConnectionId Connection, bool) {
  if (PeerServices *Services = Target.load())
    Services->Calls.onConnectionClosed(Connection);
}

void PeerDispatcher::onDatagram(const base::PeerAddress &From,
                                std::string Body) {
  if (PeerServices *Services = Target.load())
    Services->Control.onDatagram(From, Body);
}

void PeerDispatcher::dispatch(PeerServices &Services,
                              transport::ConnectionId Connection,
                              const transport::Frame &Received) {
  switch (static_cast<MessageType>(Received.Type)) {
  case MessageType::Call:
    return with<CallMessage>(Received, [&](CallMessage Message) {
      Services.Serving.onCall(Connection, std::move(Message));
    });
  case MessageType::CallResponse:
    return with<CallResponseMessage>(Received,
                                     [&](const CallResponseMessage &Message) {
                                       Services.Calls.onResponse(Message);
                                     });
  case MessageType::Fence:
    return with<execution::Fence>(Received, [&](const auto &Request) {
      Services.Serving.onFence(Connection, Request);
    });
  case MessageType::FenceReply:
    return with<execution::FenceReply>(Received, [&](const auto &Reply) {
      Services.Calls.onFenceReply(Reply);
    });
  case MessageType::FetchRecords:
    return with<FetchRecords>(Received, [&](const auto &Request) {
      Services.Control.onFetchRecords(Connection, Request);
    });
  case MessageType::FetchedRecords:
    return with<FetchedRecords>(Received, [&](const auto &Response) {
      Services.Control.onFetchedRecords(Response);
    });
  case MessageType::IdempotencyBegin:
    return with<ForShard<execution::IdempotencyBegin>>(
        Received, [&](const auto &Message) {
          Services.Idempotency.onBegin(Connection, Message.Content,
                                       Message.Shard);
        });
  case MessageType::IdempotencyReply:
    return with<execution::IdempotencyReply>(Received, [&](const auto &Reply) {
      Services.Idempotency.onReply(Reply);
    });
  case MessageType::IdempotencyFinish:
    return with<ForShard<execution::IdempotencyFinish>>(
        Received, [&](const auto &Message) {
          Services.Idempotency.onFinish(Connection, Message.Content,
                                        Message.Shard);
        });
  case MessageType::SuccessorPing:
    return with<ownership::SuccessorPing>(Received, [&](const auto &Ping) {
      Services.Control.onSuccessorPing(Connection, Ping);
    });
  case MessageType::SuccessorAck:
    return with<ownership::SuccessorAck>(Received, [&](const auto &Ack) {
      Services.Control.onSuccessorAck(Ack);
    });
  case MessageType::IdempotencyAck:
    return with<execution::IdempotencyAck>(
        Received, [&](const auto &Ack) { Services.Idempotency.onAck(Ack); });
  case MessageType::PermitRequest:
    return with<ratelimit::PermitRequest>(Received, [&](const auto &Request) {
      Services.Rates.onPermitRequest(Connection, Request);
    });
  case MessageType::PermitGrant:
    return with<ratelimit::PermitGrant>(Received, [&](const auto &Grant) {
      Services.Rates.onPermitGrant(Grant);
    });
  }
  Shared.Metrics.counter("peer_messages_unknown_total").add();
}

} // namespace node
