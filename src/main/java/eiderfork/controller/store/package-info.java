/**
 * Access to the consensus-backed key-value store: a client that keeps the store's rate limits and
 * sends urgent requests first, and the read barrier before linearizable answers. Nothing here knows
 * jobs or machines.
 */
package eiderfork.controller.store;
