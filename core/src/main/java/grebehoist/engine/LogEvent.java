package grebehoist.engine;

/**
 * A state that has changed, for the operators' log.
 *
 * @param subject what kind of thing: endpoint, watch, configuration, shutdown, operator
 * @param id which of them
 * @param from the state before
 * @param to the state now
 * @param cause why
 */
public record LogEvent(String subject, String id, String from, String to, String cause) {}
