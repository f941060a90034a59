/** The command {@code demo}: the real proxy at its main job, between the testkit's stand-ins on loopback. */
package grebehoist.demo;
