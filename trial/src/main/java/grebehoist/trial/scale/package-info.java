/**
 * Thousands of hollow proxies (the real state machines, each with a socket of its own, no clients and backends), tens of control machines
 * of the real program, one writer, faults between them, and what is judged of it: docs/trial.md, "scale".
 */
package grebehoist.trial.scale;
