/**
 * Netty-based HTTP server and client: decode messages into inputs of a controller and send its
 * effects as messages.
 */
package eiderfork.net;
