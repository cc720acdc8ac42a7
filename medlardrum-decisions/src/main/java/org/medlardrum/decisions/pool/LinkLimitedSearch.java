package org.medlardrum.decisions.pool;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds chains in a pool with scarce links between its availability zones. A chain whose
 * activations stay in one zone is preferred to any other; the call to its first engine
 * may cross zones. Chains that cross zones are used only within the budget of the links.
 * Searches at most twice for a request.
 *
 * <pre>
 * ChainChoice choice = new LinkLimitedSearch(snapshot, budget, nowMs).find(request, maxUtilisation, false);
 * choice.chain().ifPresent((chain) -&gt; budget.take(chain, request.tokensAtEnd(), nowMs));
 * </pre>
 */
public final class LinkLimitedSearch {

	private final PoolSnapshot snapshot;

	private final ZoneLinkBudget budget;

	private final Predicate<PoolServer> limitedAsFirst;

	private final long nowMs;

	/**
	 * Creates a search.
	 * @param snapshot the engines and their load
	 * @param budget tokens that may be sent over the links; nothing is taken
	 * @param limitedAsFirst whether an engine has reached its limit of requests, so that
	 * it must not be the first of the chain
	 * @param nowMs current time on the monotonic clock
	 */
	public LinkLimitedSearch(PoolSnapshot snapshot, ZoneLinkBudget budget, Predicate<PoolServer> limitedAsFirst,
			long nowMs) {
		this.snapshot = snapshot;
		this.budget = budget;
		this.limitedAsFirst = limitedAsFirst;
		this.nowMs = nowMs;
	}

	/**
	 * Finds a chain.
	 * @param request the request
	 * @param maxUtilisation largest fraction of the KV cache that may be reserved,
	 * including this request
	 * @param mayOverdraw whether the budget of links without debt may be overdrawn
	 * @return the chain and what it was preferred to
	 */
	public ChainChoice find(ChainRequest request, double maxUtilisation, boolean mayOverdraw) {
		Optional<List<ChainHop>> preferred = new ChainSearch(this.snapshot).findWithFewestCrossings(request,
				maxUtilisation, Set.of());
		if (preferred.isEmpty()) {
			return new ChainChoice(preferred, preferred, Set.of());
		}
		Set<String> refusedLinks = refusedLinks(preferred.get(), request, mayOverdraw);
		if (refusedLinks.isEmpty() && !this.limitedAsFirst.test(preferred.get().getFirst().server())) {
			return new ChainChoice(preferred, preferred, refusedLinks);
		}
		PoolSnapshot rest = this.snapshot.withExcludedAsFirst(this.snapshot.excludedAsFirst().or(this.limitedAsFirst));
		Optional<List<ChainHop>> other = new ChainSearch(rest)
			.findWithFewestCrossings(request, maxUtilisation, refusedLinks)
			.filter((chain) -> refusedLinks(chain, request, mayOverdraw).isEmpty());
		return new ChainChoice(preferred, other, refusedLinks);
	}

	private Set<String> refusedLinks(List<ChainHop> chain, ChainRequest request, boolean mayOverdraw) {
		return (mayOverdraw) ? this.budget.indebtedLinks(chain, this.nowMs)
				: this.budget.shortLinks(chain, request.tokensAtEnd(), this.nowMs);
	}

	/**
	 * Result of a search.
	 *
	 * @param preferred the chain that would be used without limits, empty if no chain has
	 * enough free capacity
	 * @param chain the chain that may be used, empty if there is none
	 * @param refusedLinks links of the preferred chain whose budget is exhausted
	 */
	public record ChainChoice(Optional<List<ChainHop>> preferred, Optional<List<ChainHop>> chain,
			Set<String> refusedLinks) {
	}

}
