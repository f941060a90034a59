/**
 * Thrift: framed transport, binary and compact protocol, on either side of the engine. Calls pass through byte for byte but
 * for the sequence id. docs/thrift.md is the page on it. One event loop thread runs all of it.
 */
package grebehoist.thrift;
