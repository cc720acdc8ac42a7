package org.medlardrum.entry.internal.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.medlardrum.decisions.Work;
import org.medlardrum.peer.gen.OrganisationDemand;
import org.medlardrum.peer.gen.RankDemand;
import org.medlardrum.state.Rank;

/**
 * Moving averages of the offered and served cost per second, by rank and by organisation.
 * Used only by the admission thread.
 */
final class DemandMeter {

	/** The averages follow a change of demand within about 3 s. */
	private static final double TIME_CONSTANT_S = 3;

	/** Lower rates are removed, so that organisations without requests use no memory. */
	private static final double NEGLIGIBLE_COST_PER_S = 0.01;

	private final Map<Rank, Rates> ranks = new HashMap<>();

	private final Map<String, Rates> organisations = new HashMap<>();

	void offered(Work work) {
		this.ranks.computeIfAbsent(work.rank(), (rank) -> new Rates()).offered += work.cost();
		this.organisations.computeIfAbsent(work.organisation(), (name) -> new Rates()).offered += work.cost();
	}

	void served(Work work, double cost) {
		this.ranks.computeIfAbsent(work.rank(), (rank) -> new Rates()).served += cost;
		this.organisations.computeIfAbsent(work.organisation(), (name) -> new Rates()).served += cost;
	}

	void updateRates(double elapsedS) {
		this.ranks.values().removeIf((rates) -> rates.update(elapsedS));
		this.organisations.values().removeIf((rates) -> rates.update(elapsedS));
	}

	List<RankDemand> ranks(String pool) {
		List<RankDemand> result = new ArrayList<>();
		this.ranks.forEach((rank, rates) -> result.add(new RankDemand(pool, (short) rank.ordinal(),
				Math.round(rates.offeredPerS), Math.round(rates.servedPerS))));
		return result;
	}

	List<OrganisationDemand> organisations(String pool) {
		List<OrganisationDemand> result = new ArrayList<>();
		this.organisations.forEach((name, rates) -> result
			.add(new OrganisationDemand(pool, name, Math.round(rates.offeredPerS), Math.round(rates.servedPerS))));
		return result;
	}

	private static final class Rates {

		private double offered;

		private double served;

		private double offeredPerS;

		private double servedPerS;

		boolean update(double elapsedS) {
			double weight = 1 - Math.exp(-elapsedS / TIME_CONSTANT_S);
			this.offeredPerS += weight * (this.offered / elapsedS - this.offeredPerS);
			this.servedPerS += weight * (this.served / elapsedS - this.servedPerS);
			this.offered = 0;
			this.served = 0;
			return this.offeredPerS + this.servedPerS < NEGLIGIBLE_COST_PER_S;
		}

	}

}
