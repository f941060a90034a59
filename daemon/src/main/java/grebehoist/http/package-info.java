/**
 * HTTP/1.1: the front that clients talk to and the transport to backends. Neither decides: the front turns away what
 * can't be read, the transport says of each attempt how it ended and whether it may have run
 * ({@link grebehoist.http.HttpOutcomes}). One event loop thread runs all of it, so it has no locks, and nothing may block.
 */
package grebehoist.http;
