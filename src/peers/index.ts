/** Transport between entry hosts. */
export type { PeerHandler, PeerOrigin, PeerTransport } from './transport';
export { GrpcTransport } from './grpcTransport';
export { encodeMessage, decodeMessage } from './messageCodec';
export { DropReason, type TypeTraffic } from './traffic';
export type { TransportOptions } from './transportOptions';
