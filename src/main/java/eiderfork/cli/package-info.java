/** The command line. */
package eiderfork.cli;
