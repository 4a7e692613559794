/** Clients of the platform: they submit jobs, cancel them and ask whether a host is ready. */
import { request } from 'node:http';

/** How a request ended; `status` is null without a complete response. */
export interface ClientAnswer {
  readonly status: number | null;
  readonly text: string;
}

/** One request. */
export interface ClientRequest {
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly host: string;
  /** Time for which the client waits. */
  readonly deadlineMs: number;
  readonly body?: object;
}

/** Sends a request over a channel of its own. Never rejects. */
export function send(options: ClientRequest): Promise<ClientAnswer> {
  const { address, method, path, host, deadlineMs, body } = options;
  const [hostname, port] = address.split(':');
  const content = body === undefined ? '' : JSON.stringify(body);
  return new Promise((resolve) => {
    const call = request({
      hostname,
      port,
      method,
      path,
      agent: false,
      timeout: deadlineMs,
      headers: {
        host,
        'request-deadline': String(deadlineMs),
        ...(content === ''
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': String(Buffer.byteLength(content)),
            }),
      },
    });
    const timer = setTimeout(() => call.destroy(new Error('deadline')), deadlineMs);
    const end = (answer: ClientAnswer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    call.on('error', (error) => end({ status: null, text: error.message }));
    call.on('response', (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (part: string) => {
        text += part;
      });
      response.on('end', () => end({ status: response.statusCode ?? null, text }));
      response.on('error', (error) => end({ status: null, text: error.message }));
    });
    call.end(content);
  });
}
