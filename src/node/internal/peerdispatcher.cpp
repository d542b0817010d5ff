#include "node/peerdispatcher.h"

namespace node {

template <typename Message, typename MessageHandler>
void PeerDispatcher::decodeAndHandle(const transport::Frame &Received,
                                     MessageHandler &&Handle) {
  auto Decoded = base::decode<Message>(Received.Body);
  if (Decoded)
    Handle(std::move(*Decoded));
  else
    Shared.Metrics.counter("peer_messages_malformed_total").add();
}

void PeerDispatcher::onFrame(transport::ConnectionId Connection,
                             const base::ProcessId &,
                             transport::Frame Received) {
  if (PeerServices *Services = ConnectedServices.load())
    dispatch(*Services, Connection, Received);
}

void PeerDispatcher::onClosed(transport::ConnectionId Connection, bool) {
  if (PeerServices *Services = ConnectedServices.load())
    Services->Calls.onConnectionClosed(Connection);
}

void PeerDispatcher::onDatagram(const base::Endpoint &From, std::string Body) {
  if (PeerServices *Services = ConnectedServices.load())
    Services->Control.onDatagram(From, Body);
}

void PeerDispatcher::dispatch(PeerServices &Services,
                              transport::ConnectionId Connection,
                              const transport::Frame &Received) {
  switch (static_cast<MessageType>(Received.Type)) {
  case MessageType::Call:
    return decodeAndHandle<CallMessage>(Received, [&](CallMessage Message) {
      Services.Serving.onCall(Connection, std::move(Message));
    });
  case MessageType::CallResponse:
    return decodeAndHandle<CallResponseMessage>(
        Received, [&](const CallResponseMessage &Message) {
          Services.Calls.onResponse(Message);
        });
  case MessageType::Fence:
    return decodeAndHandle<execution::Fence>(
        Received, [&](const auto &Request) {
          Services.Serving.onFence(Connection, Request);
        });
  case MessageType::FenceReply:
    return decodeAndHandle<execution::FenceReply>(
        Received,
        [&](const auto &Reply) { Services.Calls.onFenceReply(Reply); });
  case MessageType::FetchRecords:
    return decodeAndHandle<FetchRecords>(Received, [&](const auto &Request) {
      Services.Control.onFetchRecords(Connection, Request);
    });
  case MessageType::FetchedRecords:
    return decodeAndHandle<FetchedRecords>(Received, [&](const auto &Response) {
      Services.Control.onFetchedRecords(Response);
    });
  case MessageType::IdempotencyBegin:
    return decodeAndHandle<ShardMessage<execution::IdempotencyBegin>>(
        Received, [&](const auto &Message) {
          Services.Idempotency.onBegin(Connection, Message.Content,
                                       Message.Shard);
        });
  case MessageType::IdempotencyReply:
    return decodeAndHandle<execution::IdempotencyReply>(
        Received,
        [&](const auto &Reply) { Services.Idempotency.onReply(Reply); });
  case MessageType::IdempotencyFinish:
    return decodeAndHandle<ShardMessage<execution::IdempotencyFinish>>(
        Received, [&](const auto &Message) {
          Services.Idempotency.onFinish(Connection, Message.Content,
                                        Message.Shard);
        });
  case MessageType::SuccessorPing:
    return decodeAndHandle<ownership::SuccessorPing>(
        Received, [&](const auto &Ping) {
          Services.Control.onSuccessorPing(Connection, Ping);
        });
  case MessageType::SuccessorAck:
    return decodeAndHandle<ownership::SuccessorAck>(
        Received,
        [&](const auto &Ack) { Services.Control.onSuccessorAck(Ack); });
  case MessageType::IdempotencyAck:
    return decodeAndHandle<execution::IdempotencyAck>(
        Received, [&](const auto &Ack) { Services.Idempotency.onAck(Ack); });
  case MessageType::PermitRequest:
    return decodeAndHandle<ratelimit::PermitRequest>(
        Received, [&](const auto &Request) {
          Services.RateLimits.onPermitRequest(Connection, Request);
        });
  case MessageType::PermitGrant:
    return decodeAndHandle<ratelimit::PermitGrant>(
        Received,
        [&](const auto &Grant) { Services.RateLimits.onPermitGrant(Grant); });
  }
  Shared.Metrics.counter("peer_messages_unknown_total").add();
}

} // namespace node
