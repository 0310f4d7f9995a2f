/** Parses and validates the settings of the platform and of the operators. */
package eiderfork.config;
