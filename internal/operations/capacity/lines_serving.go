package capacity

// entryLines are the costs of taking callers' requests.
func (ta *tally) entryLines() []Line {
	rate := ta.de.RequestsPerNode
	path := ta.path()
	return []Line{
		{
			Role: "entry and holder", What: "processor time of the requests' path",
			Formula: "requests/node × (entryCpu + hopCpu + admissionCpu + dispatchCpu)",
			Unit:    UnitCore, Value: rate * path / nanosPerSecond, Limit: ta.size.NodeCores,
			Mechanism: "one hop, spread over all nodes by the balancer and by the pools",
		},
		{
			Role: "entry", What: "routes of every slice", Formula: "slices × routeBytes",
			Unit: UnitBytes, Value: ta.de.Slices * ta.per("routeBytes"), Limit: ta.size.ControlHeap,
			Mechanism: "a table of slices, not of keys",
		},
		{
			Role: "entry and holder", What: "connections between nodes", Formula: "(nodes − 1) × hopBytes",
			Unit: UnitBytes, Value: (ta.size.Nodes - 1) * ta.per("hopBytes"), Limit: ta.size.ControlHeap,
			Mechanism: "one HTTP/2 connection for each pair of nodes, both ends counted at each node",
		},
		{
			Role: "entry and holder", What: "connections at one upstream", Formula: "slots + 1",
			Unit: UnitCount, Value: ta.as.Slots + 1, Limit: ta.size.Connections,
			Mechanism: "only the pool's holder connects, with one connection for each slot and one for control",
		},
	}
}

// path is the processor nanoseconds of one request over its whole path.
func (ta *tally) path() float64 {
	return ta.per("entryCpu") + ta.per("hopCpu") + ta.per("admissionCpu") + ta.per("dispatchCpu")
}

// holderLines are the costs of admitting for the pools that a node holds.
func (ta *tally) holderLines() []Line {
	const renewalsPerSecond = 5
	renewals := ta.de.UpstreamsPerNode * renewalsPerSecond
	return []Line{
		{
			Role: "pool holder", What: "renewals of grants, on the wire", Formula: "upstreams/node × 5/s × renewalBytes",
			Unit: UnitBytesSec, Value: renewals * ta.per("renewalBytes"), Limit: ta.size.ControlWire,
			Mechanism: "one order for each upstream, over HTTP with JSON",
		},
		{
			Role: "pool holder", What: "renewals of grants, processor time", Formula: "upstreams/node × 5/s × renewalCpu",
			Unit: UnitCore, Value: renewals * ta.per("renewalCpu") / nanosPerSecond, Limit: ta.size.ControlCore,
			Mechanism: "one order for each upstream; the slope holds both ends",
		},
		{
			Role: "pool holder", What: "ownership core, processor time",
			Formula: "holderCpu(slices/node), measured with 8 upstreams",
			Unit:    UnitCore, Value: ta.at("holderCpu", ta.de.Slices/ta.size.Nodes) / nanosPerSecond, Limit: ta.size.ControlCore,
			Mechanism: "a settled holder renews by upstream and looks at no slice",
		},
		{
			Role: "pool holder", What: "state of ownership", Formula: "slices/node × holderBytes",
			Unit: UnitBytes, Value: ta.at("holderBytes", ta.de.Slices/ta.size.Nodes), Limit: ta.size.ControlHeap,
			Mechanism: "slices, not keys; hot keys on their own beside them",
		},
		{
			Role: "pool holder", What: "requests queued for one deadline", Formula: "requests/node × 1 s × queuedBytes",
			Unit: UnitBytes, Value: ta.de.RequestsPerNode * ta.per("queuedBytes"), Limit: ta.size.ControlHeap,
			Mechanism: "refusal ahead of time: nothing waits that cannot be served by its deadline",
		},
	}
}

// bundleLines are the costs of changes of configuration.
func (ta *tally) bundleLines() []Line {
	body := ta.at("bundleBytes", ta.de.Upstreams) + ta.per("bundleHostBytes")*ta.size.Nodes
	changes := ta.size.ChangesPerDay / secondsPerDay
	return []Line{
		{
			Role: "bundle distribution", What: "bodies fetched by a node, mean of a day",
			Formula: "changes/day ÷ 86,400 × bundleWire(upstreams)",
			Unit:    UnitBytesSec, Value: changes * ta.at("bundleWire", ta.de.Upstreams), Limit: ta.size.ControlWire,
			Mechanism: "the whole body for each change, compressed between nodes",
		},
		{
			Role: "bundle distribution", What: "parsing, mean of a day", Formula: "changes/day ÷ 86,400 × upstreams × bundleCpu",
			Unit: UnitCore, Value: changes * ta.at("bundleCpu", ta.de.Upstreams) / nanosPerSecond, Limit: ta.size.ControlCore,
			Mechanism: "strict parse of the whole body",
		},
		{
			Role: "bundle distribution", What: "bundle in memory", Formula: "body + upstreams × bundleHeap",
			Unit: UnitBytes, Value: body + ta.at("bundleHeap", ta.de.Upstreams), Limit: ta.size.ControlHeap,
			Mechanism: "the seal and the parsed bundle of the version in force",
		},
	}
}
