/** The distribution of configuration on virtual time: drawn scripts of faults, many writers, and a referee who knows what has been taken. */
package grebehoist.trial.distribution;
