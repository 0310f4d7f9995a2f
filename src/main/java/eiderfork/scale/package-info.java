/**
 * The scale run: real controller processes on loopback among emulated state services, clouds,
 * workers and users, with failures, measurements and checks of the protocol's rules.
 */
package eiderfork.scale;
