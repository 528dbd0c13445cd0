package capacity

// message is the mean bytes of one control message on the wire.
func (ta *tally) message() float64 {
	return ta.per("beatBytes") / 2
}

// messageCPU is the processor nanoseconds of one control message at one end.
func (ta *tally) messageCPU() float64 {
	return ta.per("beatCpu") / 4
}

// followerLines are the costs of a node that leads no domain.
func (ta *tally) followerLines() []Line {
	messages := ta.at("followerMessages", ta.de.NodesPerDomain)
	return []Line{
		{
			Role: "follower", What: "heartbeats on the wire", Formula: "followerMessages(nodes/domain) × beatBytes/2",
			Unit: UnitBytesSec, Value: messages * ta.message(), Limit: ta.size.ControlWire,
			Mechanism: "one heartbeat and one answer each 200 ms carry all pool leases and route changes",
		},
		{
			Role: "follower", What: "heartbeats, processor time", Formula: "followerMessages(nodes/domain) × beatCpu/4",
			Unit: UnitCore, Value: messages * ta.messageCPU() / nanosPerSecond, Limit: ta.size.ControlCore,
			Mechanism: "one stream for each pair of nodes",
		},
	}
}

// leaderLines are the costs of the node that leads a domain.
func (ta *tally) leaderLines() []Line {
	inside := ta.at("leaderMessages", ta.de.NodesPerDomain)
	across := ta.at("crossMessages", ta.size.Domains)
	beats := ta.de.NodesPerDomain * heartbeatsPerSecond
	pools := ta.de.Pools / ta.size.Domains
	leasing := beats * ta.at("leaderCpu", pools)
	return []Line{
		{
			Role: "domain leader", What: "heartbeats of its hosts on the wire", Formula: "leaderMessages(nodes/domain) × beatBytes/2",
			Unit: UnitBytesSec, Value: inside * ta.message(), Limit: ta.size.ControlWire,
			Mechanism: "every host of the domain beats to one leader",
		},
		{
			Role: "domain leader", What: "the same, payload alone", Formula: "leaderPayload(nodes/domain)",
			Unit: UnitBytesSec, Value: ta.at("leaderPayload", ta.de.NodesPerDomain), Limit: ta.size.ControlWire,
			Mechanism: "what would be left with no cost of frames and segments",
		},
		{
			Role: "domain leader", What: "words between domains on the wire", Formula: "crossMessages(domains) × beatBytes/2",
			Unit: UnitBytesSec, Value: across * ta.message(), Limit: ta.size.ControlWire,
			Mechanism: "leaders beat to each other each 200 ms",
		},
		{
			Role: "domain leader", What: "processor time",
			Formula: "(leaderMessages + crossMessages) × beatCpu/4 + heartbeats/s × leaderCpu(pools/domain)",
			Unit:    UnitCore, Value: ((inside+across)*ta.messageCPU() + leasing) / nanosPerSecond, Limit: ta.size.ControlCore,
			Mechanism: "one core for each term, no state of requests or keys",
		},
	}
}

// heartbeatsPerSecond is how often a host beats to its leader.
const heartbeatsPerSecond = 5

// tableLines are the load on the platform's table.
func (ta *tally) tableLines() []Line {
	perService := ta.de.Slices / (ta.as.Services * ta.as.KeyedShare)
	return []Line{
		{
			Role: "table", What: "writes without a change", Formula: "tableWrites(domains)",
			Unit: UnitPerSec, Value: ta.at("tableWrites", ta.size.Domains), Limit: ta.size.TableWrites,
			Mechanism: "only leaders renew a row; holders and upstreams never do",
		},
		{
			Role: "table", What: "writes for changes, losses and restarts, mean of a day",
			Formula: "(changes + (losses + restarts) × pools/node × 2) ÷ 86,400",
			Unit:    UnitPerSec, Value: ta.dailyWrites() / secondsPerDay, Limit: ta.size.TableWrites,
			Mechanism: "a row for each pool whose holder or owners change",
		},
		{
			Role: "table", What: "reads of ownership without a change", Formula: "tableReads(nodes)",
			Unit: UnitPerSec, Value: ta.at("tableReads", ta.size.Nodes), Limit: ta.size.TableReads,
			Mechanism: "followers learn from their leader",
		},
		{
			Role: "table", What: "the largest row: slices of one service", Formula: "slices/service × placeRowBytes",
			Unit: UnitBytes, Value: ta.at("placeRowBytes", perService),
			Mechanism: "written only when slices cross pools",
		},
		{
			Role: "table", What: "the row of one pool", Formula: "slices/pool × poolRowBytes",
			Unit: UnitBytes, Value: ta.at("poolRowBytes", ta.as.PoolUpstreams*ta.as.SlicesPerUpstream),
			Mechanism: "written by its holder when an owner changes",
		},
	}
}

// dailyWrites counts a write when a pool's holder takes over and one when it is
// given back or balanced.
func (ta *tally) dailyWrites() float64 {
	moved := (ta.size.LossesPerDay + ta.size.RestartsPerDay) * ta.de.PoolsPerNode * 2
	return ta.size.ChangesPerDay + moved
}

// recoveryLines are the times in which keys are unserved.
func (ta *tally) recoveryLines() []Line {
	const rack = 6
	line := func(what string, name Name, size float64, formula string) Line {
		return Line{
			Role: "recovery", What: what, Formula: formula, Unit: UnitSeconds,
			Value: ta.at(name, size) / millisPerSecond, Limit: ta.size.ServedAgain,
			Mechanism: "leases lapse, one table write for each pool, grants; virtual time, one seed",
		}
	}
	return []Line{
		line("one upstream lost", "recoveryUpstreams", 1, "recoveryUpstreams(1)"),
		line("one pool holder lost", "recoveryPools", 1, "recoveryPools(1)"),
		line("a rack of 6 holders and 6 upstreams lost", "recoveryRack", rack, "recoveryRack(6)"),
		line("an upstream with 512 slices lost", "recoverySlices", 512, "recoverySlices(512)"),
		line("a whole domain lost", "recoveryDomain", ta.de.NodesPerDomain, "recoveryDomain(nodes/domain)"),
	}
}

const millisPerSecond = 1000

// worstLines are the moments in which much happens at once.
func (ta *tally) worstLines() []Line {
	poolsLost := ta.de.Pools / ta.size.Domains
	body := ta.at("bundleWire", ta.de.Upstreams)
	inFlight := ta.de.RequestsPerNode / (1 - 1/ta.size.Domains)
	return []Line{
		{
			Role: "worst moment", What: "a whole domain lost: table writes within the 2 s", Formula: "services + pools/domain + pools of the other domains, one write each ÷ 2 s",
			Unit: UnitPerSec, Value: (ta.as.Services + ta.de.Pools) / ta.size.ServedAgain, Limit: ta.size.TableWrites,
			Mechanism: "one transaction for each service moves all its slices, then each pool that takes some writes its row",
		},
		{
			Role: "worst moment", What: "a whole domain lost: requests at each node left", Formula: "requests/node ÷ (1 − 1/domains) × path",
			Unit: UnitCore, Value: inFlight * ta.path() / nanosPerSecond, Limit: ta.size.NodeCores,
			Mechanism: "the other domains take its slices and callers",
		},
		{
			Role: "worst moment", What: "a region cut off: upstreams left for all requests", Formula: "load ÷ (1 − 1/regions)",
			Unit: UnitShare, Value: ta.as.Load / (1 - 1/ta.size.Regions), Limit: 1,
			Mechanism: "keys with whenCutOff: keep stay served on their side; others move; beyond 1 refused ahead of time",
		},
		{
			Role: "worst moment", What: "the table back after an hour: rows written at once, over 2 s", Formula: "(pools + services + domains) ÷ 2 s",
			Unit: UnitPerSec, Value: (ta.de.Pools + ta.as.Services + ta.size.Domains) / ta.size.ServedAgain, Limit: ta.size.TableWrites,
			Mechanism: "one row for each pool whatever happened meanwhile, and only for those that changed",
		},
		{
			Role: "worst moment", What: "all nodes restarted within the day: pool moves", Formula: "2 × pools ÷ 86,400",
			Unit: UnitPerSec, Value: 2 * ta.de.Pools / secondsPerDay, Limit: ta.size.TableWrites,
			Mechanism: "a planned stop hands over; a start takes by rebalancing, one pool each 500 ms and domain",
		},
		{
			Role: "worst moment", What: "420 nodes start without the platform: bundle bodies out of one peer within 2 s", Formula: "bundleWire(upstreams) ÷ 2 s for each node served",
			Unit: UnitBytesSec, Value: body / ta.size.ServedAgain, Mechanism: "each node that has the body gives it on; the first needs a peer that ran on",
		},
		{
			Role: "worst moment", What: "pools to take over in a lost domain", Formula: "pools/domain",
			Unit: UnitCount, Value: poolsLost, Mechanism: "slices go to pools that run already, so no pool has to start",
		},
	}
}
