/**
 * Codecs for the messages of the protocol, in JSON, and for the messages between controllers, in
 * Avro. No other package uses the field names and values of the protocol.
 */
package eiderfork.wire;
