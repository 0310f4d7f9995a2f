/**
 * Access to the consensus-backed key-value store: a client that respects the store's rate limits
 * and sends urgent requests first, and a read barrier for linearizable responses. This package does
 * not depend on jobs or machines.
 */
package eiderfork.controller.store;
