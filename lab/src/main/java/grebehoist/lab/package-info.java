/**
 * The laboratory: whole fleets on virtual time. The real engine and the real decision module, or a rival of it, run in every
 * proxy; machines, network, discovery and clients are models. Equal experiment and seed give equal figures.
 */
package grebehoist.lab;
