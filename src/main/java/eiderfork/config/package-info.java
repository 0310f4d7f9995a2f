/** The platform's settings and the operators' own, read and checked. */
package eiderfork.config;
