/** Limits on rates, and pauses between tries. */
package eiderfork.core.limits;
