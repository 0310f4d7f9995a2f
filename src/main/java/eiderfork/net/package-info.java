/**
 * Netty servers and clients that turn the core's effects into messages and messages into inputs.
 */
package eiderfork.net;
