/**
 * What stands between the decision module and every protocol: requests, their attempts and their one final answer.
 *
 * <p>A front hands requests in through {@link grebehoist.engine.Intake} and hears of each exactly one answer through a
 * {@link grebehoist.engine.Responder}. A {@link grebehoist.engine.Transport} carries attempts and reports the one
 * outcome of each. A {@link grebehoist.engine.MemberSource} tells the list of backends. The engine hands the module its
 * events and carries out its actions; it takes no decision of its own.
 *
 * <p>Everything here runs in one logical thread, the one that {@link grebehoist.engine.Timers} runs its actions on, and
 * nothing here blocks, reads a clock, or knows a protocol or a socket. All times are microseconds on the clock of
 * {@link grebehoist.engine.Timers}.
 */
package grebehoist.engine;
