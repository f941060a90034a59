/** What one proxy says to others and hears of them, put together: {@link grebehoist.fleet.FleetNode}. */
package grebehoist.fleet;
