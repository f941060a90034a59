/**
 * What several sources say of a backend, merged by functions that do no I/O: the list of a source, and what operators have
 * taken out of it by hand. The decision module hears one list.
 */
package grebehoist.members;
