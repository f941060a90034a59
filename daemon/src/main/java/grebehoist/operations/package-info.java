/**
 * What operators do to a proxy that serves: the door that they call at, what they have asked for and where that is kept, and
 * who else serves as the same proxy during an upgrade. Loaded only where the configuration has an {@code operator}.
 */
package grebehoist.operations;
