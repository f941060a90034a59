/**
 * Whoever changes what is distributed, and asks how far it has got: the commands {@code change} and {@code status}. Loaded by them alone;
 * docs/distribution.md.
 */
package grebehoist.writer;
