package grebehoist.trial.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Who is where and who serves what. Equal figures give an equal plan, in every process.
 *
 * @param proxies hollow ones
 * @param machines control machines
 * @param services scopes of services, dealt over the cells
 * @param tenants items in the cells' tenant scopes, all together
 * @param items a service, in the mean
 * @param real proxies of the program beside the hollow ones; their numbers come after those
 * @param seed draws the sizes of the services
 */
record Plan(int proxies, int machines, int services, int tenants, int items, int real, long seed) {
    static final int ZONES = 13;
    static final int REGIONS = 4;
    /** The scope that all proxies have. */
    static final String FLEET = "fleet";
    /** Items of the fleet's scope. */
    static final int FLEET_ITEMS = 8;

    private static final int PROXIES_A_CELL = 60;

    /** Returns how many proxies there are, hollow and real. */
    int everyone() {
        return proxies + real;
    }

    int cells() {
        return Math.max(1, proxies / PROXIES_A_CELL);
    }

    int cell(int proxy) {
        return proxy % cells();
    }

    static int zone(int number) {
        return number % ZONES;
    }

    static int region(int zone) {
        return zone % REGIONS;
    }

    static String zoneName(int zone) {
        return "r" + region(zone) + "z" + zone;
    }

    /** Returns all scopes: the fleet's, the services', the cells' tenants; a scope's number is its place here. */
    List<String> scopes() {
        var all = new ArrayList<String>(1 + services + cells());
        all.add(FLEET);
        for (int s = 0; s < services; s++) {
            all.add("c" + s % cells() + "/s" + s);
        }
        for (int c = 0; c < cells(); c++) {
            all.add("c" + c + "/t");
        }
        return all;
    }

    /** Returns the numbers of the scopes that a proxy serves, in growing order. */
    List<Integer> scopesOf(int proxy) {
        int cell = cell(proxy);
        var mine = new ArrayList<Integer>();
        mine.add(0);
        for (int s = cell; s < services; s += cells()) {
            mine.add(1 + s);
        }
        mine.add(1 + services + cell);
        return mine;
    }

    boolean tenantScope(int scope) {
        return scope > services;
    }

    /** Returns how many items each scope begins with. */
    int[] sizes() {
        var random = new SplittableRandom(seed ^ 0x51_2E);
        var sizes = new int[1 + services + cells()];
        sizes[0] = FLEET_ITEMS;
        for (int s = 1; s <= services; s++) {
            // A few large ones and many small ones, as services are.
            sizes[s] = (int) Math.max(1, Math.min(20L * items, Math.round(-Math.log(1 - random.nextDouble()) * items)));
        }
        for (int c = 0; c < cells(); c++) {
            sizes[1 + services + c] = tenants / cells() + (c < tenants % cells() ? 1 : 0);
        }
        return sizes;
    }
}
