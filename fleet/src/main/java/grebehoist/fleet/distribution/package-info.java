/**
 * The distribution of configuration: scopes of items, each held by three control machines and given to the proxies that subscribe to it, as
 * changes come. State machines: events and a time in, actions out; no clock, thread or socket. docs/distribution.md is the page.
 */
package grebehoist.fleet.distribution;
