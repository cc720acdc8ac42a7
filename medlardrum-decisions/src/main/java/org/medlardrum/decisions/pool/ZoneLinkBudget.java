package org.medlardrum.decisions.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.medlardrum.state.routing.ModelPool;

/**
 * Tokens whose activations this host may still send over the links between availability
 * zones: one token bucket for each link. Each host takes its share of the link without
 * asking the others. A chain takes its prompt and generated tokens for each crossing.
 * Thread-safe.
 *
 * <pre>
 * ZoneLinkBudget budget = new ZoneLinkBudget(pool);
 * budget.updatePeers(26);
 * if (budget.shortLinks(chain, tokens, nowMs).isEmpty()) {
 *     budget.take(chain, tokens, nowMs);
 * }
 * </pre>
 */
public final class ZoneLinkBudget {

	/**
	 * Fraction of a link that all hosts together use. The rest absorbs completions that
	 * exceed their estimate and hosts that have not discovered each other yet.
	 */
	static final double LINK_SHARE = 0.8;

	/** Time of which a bucket holds the tokens, unless a typical request needs more. */
	private static final double CAPACITY_S = 1;

	private static final double MS_PER_S = 1_000;

	private final double linkTokensPerS;

	private final double typicalTokens;

	private int hosts = 1;

	/** By {@link ModelPool#zonePairKey}; a link without an entry has a full bucket. */
	private final Map<String, Bucket> buckets = new HashMap<>();

	/**
	 * Creates a budget of full buckets.
	 * @param pool parameters of the pool
	 */
	public ZoneLinkBudget(ModelPool pool) {
		this.linkTokensPerS = pool.zoneLinkTokensPerS();
		this.typicalTokens = pool.meanPromptTokens() + pool.meanGeneratedTokens();
	}

	/**
	 * Sets the number of hosts that share the links. A host that knows of no others may
	 * have lost them, so the last known number is kept.
	 * @param peers number of other live hosts
	 */
	public synchronized void updatePeers(int peers) {
		if (peers > 0) {
			this.hosts = peers + 1;
		}
	}

	/**
	 * Returns the links of a chain whose buckets have too few tokens. A request that
	 * needs more than a bucket holds may use a full one and leaves it in debt.
	 * @param chain the chain
	 * @param tokens tokens of the request that cross each link
	 * @param nowMs current time on the monotonic clock
	 * @return the links by {@link ModelPool#zonePairKey}, empty if the chain may be used
	 */
	public synchronized Set<String> shortLinks(List<ChainHop> chain, long tokens, long nowMs) {
		Set<String> links = new TreeSet<>();
		ChainZones.crossings(chain).forEach((link, count) -> {
			if (bucket(link, nowMs).tokens < Math.min((double) count * tokens, capacity())) {
				links.add(link);
			}
		});
		return links;
	}

	/**
	 * Returns the links of a chain whose buckets are in debt. After the loss of a chain
	 * all its streams resume at the same moment; if each of them could overdraw the
	 * budget, they would fill the links and stall.
	 * @param chain the chain
	 * @param nowMs current time on the monotonic clock
	 * @return the links by {@link ModelPool#zonePairKey}, empty if a started stream may
	 * use the chain
	 */
	public synchronized Set<String> indebtedLinks(List<ChainHop> chain, long nowMs) {
		Set<String> links = new TreeSet<>(ChainZones.crossings(chain).keySet());
		links.removeIf((link) -> bucket(link, nowMs).tokens >= 0);
		return links;
	}

	/**
	 * Takes the tokens of a chain for each of its crossings.
	 * @param chain the chain
	 * @param tokens tokens of the request that cross each link
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void take(List<ChainHop> chain, long tokens, long nowMs) {
		ChainZones.crossings(chain).forEach((link, count) -> bucket(link, nowMs).tokens -= (double) count * tokens);
	}

	/**
	 * Returns the tokens of a chain that no engine has executed, so that nothing crossed.
	 * @param chain the chain
	 * @param tokens tokens that were taken for each crossing
	 * @param nowMs current time on the monotonic clock
	 */
	public synchronized void giveBack(List<ChainHop> chain, long tokens, long nowMs) {
		ChainZones.crossings(chain).forEach((link, count) -> {
			Bucket bucket = bucket(link, nowMs);
			bucket.tokens = Math.min(capacity(), bucket.tokens + (double) count * tokens);
		});
	}

	/**
	 * Returns the tokens that are left for a link.
	 * @param link the link, a {@link ModelPool#zonePairKey}
	 * @param nowMs current time on the monotonic clock
	 * @return the tokens, negative in debt
	 */
	public synchronized long balanceTokens(String link, long nowMs) {
		return (long) bucket(link, nowMs).tokens;
	}

	private Bucket bucket(String link, long nowMs) {
		Bucket bucket = this.buckets.computeIfAbsent(link, (key) -> new Bucket(capacity(), nowMs));
		double refill = Math.max(0, nowMs - bucket.filledAtMs) * tokensPerS() / MS_PER_S;
		bucket.tokens = Math.min(capacity(), bucket.tokens + refill);
		bucket.filledAtMs = nowMs;
		return bucket;
	}

	private double tokensPerS() {
		return this.linkTokensPerS * LINK_SHARE / this.hosts;
	}

	private double capacity() {
		return Math.max(this.typicalTokens, tokensPerS() * CAPACITY_S);
	}

	private static final class Bucket {

		private double tokens;

		private long filledAtMs;

		Bucket(double tokens, long filledAtMs) {
			this.tokens = tokens;
			this.filledAtMs = filledAtMs;
		}

	}

}
