/**
 * Netty servers and clients that turn a controller's effects into messages and messages into
 * inputs.
 */
package eiderfork.net;
