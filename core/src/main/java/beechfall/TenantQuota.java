package beechfall;

import beechfall.Balancer.Tenant;

/** What a tenant may still send through this proxy as its part of the tenant's share. */
final class TenantQuota {
    private final int number;
    private final double perUs;
    private final TokenBucket left = new TokenBucket(0, 0);

    /**
     * Makes the quota of one tenant.
     *
     * @param number its place among the tenants, from 0
     */
    TenantQuota(Tenant tenant, int number) {
        this.number = number;
        this.perUs = tenant.quotaPerS() / 1e6;
    }

    int number() {
        return number;
    }

    /**
     * Counts a request; returns whether it is past this proxy's part of the share.
     *
     * @param balancers how many proxies have parts of it
     * @param savedUs what was not used is kept for so long, in microseconds
     * @param repeat whether it was counted before
     */
    boolean isOverShare(int balancers, long savedUs, boolean repeat, long now) {
        double partPerUs = perUs / balancers;
        boolean over = left.fill(partPerUs, partPerUs * savedUs, now) < 1;
        if (!over && !repeat) {
            left.take();
        }
        return over;
    }
}
