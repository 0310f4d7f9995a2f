/** Token buckets for the rate limits of other services, and backoff between retries. */
package eiderfork.controller.ratelimit;
