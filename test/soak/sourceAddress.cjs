/**
 * Loaded into a host's process before its program: connections come from the address that the soak
 * names, so that its proxies can tell hosts apart.
 */
const net = require('node:net');

const { connect } = net;
const localAddress = process.env.SOAK_SOURCE_ADDRESS;

net.connect = (options, ...rest) =>
  typeof options === 'object'
    ? connect({ localAddress, ...options }, ...rest)
    : connect(options, ...rest);
