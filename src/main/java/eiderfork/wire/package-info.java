/**
 * The messages of the protocol and of the nodes among themselves, in JSON and Avro. Only this
 * package knows the protocol's names.
 */
package eiderfork.wire;
