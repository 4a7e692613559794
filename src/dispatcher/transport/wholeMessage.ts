/**
 * Fast path for HTTP messages that arrive in one piece, as nearly all messages between hosts and
 * workers do. Anything unusual is left to the HTTP parser: a message in several reads, a chunked
 * body, a connection that is not kept alive.
 */

/** A complete HTTP/1.1 message with a body of known length. */
export interface WholeMessage {
  /** Request line or status line. */
  readonly startLine: string;
  /** Value of the Keep-Alive header; null if absent. */
  readonly keepAlive: string | null;
  readonly body: string;
}

const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';
const DIGITS = /^\d{1,9}$/;

/** What the headers say about the body and the connection. */
interface HeaderValues {
  readonly length: number;
  readonly keepAlive: string | null;
}

/** Reads the header lines; null if one of them asks for what the fast path doesn't do. */
function readHeaders(lines: readonly string[]): HeaderValues | null {
  let length: number | null = null;
  let keepAlive: string | null = null;
  for (let index = 1; index < lines.length; index += 1) {
    const line = lines[index] ?? '';
    const colon = line.indexOf(':');
    if (colon <= 0) return null;
    const value = line.slice(colon + 1).trim();
    switch (line.slice(0, colon).toLowerCase()) {
      case 'content-length':
        if (length !== null || !DIGITS.test(value)) return null;
        length = Number(value);
        break;
      case 'keep-alive':
        keepAlive = value;
        break;
      case 'connection':
        if (value.toLowerCase() !== 'keep-alive') return null;
        break;
      case 'transfer-encoding':
      case 'upgrade':
      case 'expect':
        return null;
      default:
    }
  }
  return length === null ? null : { length, keepAlive };
}

/** The message that fills exactly the first `bytes` of the buffer; null for anything else. */
export function wholeMessage(buffer: Buffer, bytes: number): WholeMessage | null {
  const bodyAt = buffer.indexOf(HEAD_END, 0, 'latin1') + HEAD_END.length;
  if (bodyAt < HEAD_END.length || bodyAt > bytes) return null;
  const lines = buffer.toString('latin1', 0, bodyAt - HEAD_END.length).split(LINE_END);
  const headers = readHeaders(lines);
  if (headers?.length !== bytes - bodyAt) return null;
  const { keepAlive } = headers;
  return { startLine: lines[0] ?? '', keepAlive, body: buffer.toString('utf8', bodyAt, bytes) };
}
