/**
 * Starts several processes of the program, puts faults between them, and checks what they did: docs/trial.md. The same scripts are
 * played on virtual time ({@link grebehoist.trial.VirtualFleet}) and on processes, and judged by one {@link grebehoist.trial.Referee}.
 */
package grebehoist.trial;
