/** Command line interface. */
package eiderfork.cli;
