package main

// scenarios is the package of the tests that run drumpath as processes.
const scenarios = "./cmd/drumpath"

var mutations = []mutation{
	{
		"prompt keys cover the organisation", "pkg/prompt/scope.go",
		"[]string{s.Organisation, s.Model,", "[]string{s.Model,",
		"./pkg/prompt", "TestChainsShareKeysOnlyWithinScope",
	},
	{
		"prompt keys cover the organisation, with processes", "pkg/prompt/scope.go",
		"[]string{s.Organisation, s.Model,", "[]string{s.Model,",
		scenarios, "TestScenarios/answers",
	},
	{
		"prompt keys cover the weights version", "pkg/prompt/scope.go",
		"s.Model, s.Weights,", "s.Model,",
		scenarios, "TestScenarios/weights",
	},
	{
		"prompt keys hash the length before each part", "pkg/prompt/scope.go",
		"		h.Write(size[:])\n", "",
		"./pkg/prompt", "TestChainsShareKeysOnlyWithinScope",
	},
	{
		"a restarted store's old objects are dropped", "pkg/prompt/directory.go",
		"		if !keep(*d.locations[id].object) {", "		if false && !keep(*d.locations[id].object) {",
		"./pkg/prompt", "TestObjectsOfAnEarlierStoreBootAreDropped",
	},
	{
		"freeing an object waits for its pins", "internal/standin/store.go",
		"		if now.Before(until) {", "		if false && now.Before(until) {",
		"./internal/standin", "TestFreeWaitsForPins",
	},
	{
		"an object is sealed before it is visible", "internal/standin/store.go",
		"	if !o.sealed || o.freed {", "	if o.freed {",
		"./internal/standin", "TestHalfWrittenObjectCannotBePinned",
	},
	{
		"eras: positions are compared as pairs", "pkg/history/position.go",
		"cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))", "cmp.Compare(p.Version, q.Version)",
		"./internal/standin/onplatform", "TestRevokedKeyIsServedAfterStoreReturnsFromCopy/sixty_writes_lost",
	},
	{
		"eras: changes of another era are gone", "platform/store.go",
		"	if page.era != after.Era || !s.isCurrent(page.era) {\n		return l, site.ErrHistoryGone", "	if false {\n		return l, site.ErrHistoryGone",
		"./platform", "TestChangesAfterAPositionOfAnotherEraAreGone",
	},
	{
		"eras: a write that was done in another era is not believed", "platform/store.go",
		"if err == nil && l.Position.Era != expected.Era {", "if false {",
		"./platform", "TestWriteThatWasDoneInAnotherEraIsNotBelieved",
	},
	{
		"eras: contents don't go back by their own numbers", "pkg/history/state.go",
		"s.Number > 0 && next.Number > 0 && s.Number != next.Number", "false",
		"./service/tables", "TestReadersServeTheOlderConfigurationOfACopy",
	},
	{
		"eras: missing rows are not gone at once", "pkg/history/eras.go",
		"e.first || e.since.IsZero() || now.Sub(e.since) >= term", "true",
		"./service/gateway", "TestRowsNotYetWrittenAgainCountAsGone",
	},
	{
		"eras: a row of an earlier era does not tell who holds a lease", "pkg/rollout/lease.go",
		"	case l.row.Era != l.position.Era:\n", "	case false:\n",
		"./pkg/rollout", "TestLeaseHasOneHolderWhenTheStoreReturnsFromCopies",
	},
	{
		"eras: fences of an era are above earlier ones", "pkg/rollout/lease.go",
		"int64(l.position.Era)*fencesPerEra", "0",
		"./pkg/rollout", "TestLeaseHasOneHolderWhenTheStoreReturnsFromCopies",
	},
	{
		"eras: bases are named by their content", "service/tables/reader_table.go",
		"ref.Digest != \"\" && x.large[ref.Key] == ref.Digest", "ref.Digest != \"\"",
		"./service/tables", "TestDeltaOnAnotherValueOfTheSamePositionCantBeDecoded",
	},
	{
		"tables: a copy read through another node is as old as it was there", "service/tables/reader_table.go",
		"if q.StoreUnreachable && x.heardAt.After(readAt) {", "if false {",
		"./service/tables", "TestCopyReadThroughAnotherNodeIsAsOldAsThere",
	},
	{
		"tables: a node without the store asks another peer if one is behind", "service/tables/store_outage.go",
		"peersPerCall = 3", "peersPerCall = 1",
		"./service/tables", "TestNodeWithoutStoreAsksAnotherPeerIfOneIsBehind",
	},
	{
		"tables: a node that starts asks different nodes for newer rows", "service/tables/reader.go",
		"asked[addr] = true", "_ = addr",
		"./service/tables", "TestStartingReaderAsksDifferentNodes",
	},
	{
		"tables: a node that takes over reads a change once", "service/tables/reader.go",
		"if !q.Whole && r.awaitRefresh(ctx, q.Table) {", "if false {",
		"./service/tables", "TestNodeThatTakesOverReadsAChangeOnce",
	},
	{
		"eras: a list of an earlier era is not complete", "pkg/origin/versions.go",
		"return era == 0 || l.Era == era", "return true",
		"./service/origins", "TestStreamOfALostVersionIsNotJoinedWithTheOnlyOne",
	},
	{
		"eras: the same order in another era is no new roll-out", "pkg/canary/order.go",
		"same && (known.Position.Era", "same && false && (known.Position.Era",
		"./pkg/canary", "TestOrderOfAnotherEra",
	},
	{
		"eras: the time to return runs from the store's return", "service/gateway/site_state.go",
		"now.Sub(st.reachableAt) < st.returnTime", "now.Sub(st.reachableAt) < 2*st.returnTime",
		"./service/gateway", "TestTimeToReturnRunsFromTheStoresReturn",
	},
	{
		"eras: a row of a replica that has left is held back", "service/gateway/site_state.go",
		"if !left || !r.Position.MayPrecede(l.position) {", "if left || !left {",
		"./service/gateway", "TestReplicaThatLeftIsListedAgainByACopy",
	},
	{
		"eras: nodes that start learn that an era is not the first", "pkg/history/eras.go",
		"if era == e.current && e.first {", "if false {",
		"./service/gateway", "TestStartingNodeKnowsHowRolloutsEnded",
	},
	{
		"eras: nodes that start learn how roll-outs ended", "service/gateway/canaries.go",
		"r.order.Position == k.Order && k.State.Final()", "false",
		"./service/gateway", "TestStartingNodeKnowsHowRolloutsEnded",
	},
	{
		"eras: a node that has just started tells others nothing", "service/gateway/nodes.go",
		"	if !n.started.Load() {", "	if false {",
		"./service/gateway", "TestStartingNodeAsksOnUntilOneKnows",
	},
	{
		"eras: changes are no rows of a copy", "pkg/canary/order.go",
		"case !settled && listed &&", "case !settled &&",
		"./pkg/canary", "TestOrderOfAnotherEra",
	},
	{
		"origins: a repeat is pinned to the version that wrote the events", "service/gateway/stream_origin.go",
		"	x.pickInput.Software = route.SoftwareRule{Version: a.choice.Software, Pinned: true}\n	if x.info", "	if x.info",
		"./internal/standin/onplatform", "TestBrokenStreamIsRepeatedAtItsOwnVersionOnly",
	},
	{
		"origins: a stream that is taken up is pinned to its origin", "service/gateway/stream_origin.go",
		"	x.pickInput.Software = route.SoftwareRule{Version: software, Pinned: true}\n", "",
		"./internal/standin/onplatform", "TestStreamsThatClientsTakeUpGoOnAtTheirVersion/connections_are_reset",
	},
	{
		"origins: the list of versions is read after the client has returned", "service/origins/register.go",
		"	if err := o.readBatched(ctx); err != nil {\n		if peerErr", "	if err := error(nil); err != nil {\n		if peerErr",
		"./service/origins", "TestStreamOfNewVersionIsNotJoinedWithTheOldOne",
	},
	{
		"origins: streams begin at listed versions only", "service/gateway/stream_origin.go",
		"x.pickInput.Software.Pinned || x.g.origins.MayBegin(x.service.Name, c.Software)", "true",
		"./internal/standin/onplatform", "TestNoStreamBeginsAtVersionThatIsNotListed",
	},
	{
		"origins: records are replicated", "service/origins/replication.go",
		"		o.sendRecords(holders, list, now)\n	}\n}", "	}\n}",
		"./service/origins", "TestStreamsOfKilledNodesGoOn",
	},
	{
		"origins: a retired version takes no new streams", "pkg/origin/versions.go",
		"return i >= 0 && v[i].RetiredMS == 0", "return i >= 0",
		"./pkg/origin", "TestRetiredVersionsAreKeptForReturningClients",
	},
	{
		"origins: a stop hands records over", "service/origins/replication.go",
		"slices.Chunk(all, maxRecordsPerNote)", "slices.Chunk(all[:0], maxRecordsPerNote)",
		"./internal/standin/onplatform", "TestStoppingNodeHandsOverWhereItsStreamsBegan",
	},
	{
		"a gap in cache events is detected", "service/node/engine_watch.go",
		"!w.contiguous(answer.Events)", "!w.contiguous(answer.Events) && false",
		"./service/node", "TestWatchResynchronisesAfterAGap",
	},
	{
		"an answer with another request's ID is an error", "pkg/upstream/stream.go",
		"ev.RequestID != s.id", "false",
		"./pkg/upstream", "TestInvalidAnswerStreamsAreErrors",
	},
	{
		"a missing token of an answer is an error", "pkg/upstream/stream.go",
		"ev.Index != s.nextIndex", "false",
		"./pkg/upstream", "TestInvalidAnswerStreamsAreErrors",
	},
	{
		"answers with another request's ID are discarded, with processes", "pkg/upstream/stream.go",
		"ev.RequestID != s.id", "false",
		scenarios, "TestScenarios/answers",
	},
	{
		"the connection of a cancelled answer is not reused", "pkg/upstream/stream.go",
		"	if s.complete {\n		// The end", "	if true {\n		// The end",
		"./pkg/upstream", "TestCancelledAnswerNeverReachesTheNextRequest",
	},
	{
		"an interrupted run is resumed", "service/entry/run.go",
		"	f.Code = CodeCutOff\n	if !retryable ||", "	f.Code = CodeCutOff\n	if true || !retryable ||",
		scenarios, "TestScenarios/answers",
	},
	{
		"not_run is answered only if nothing was sent", "service/entry/run.go",
		"	case !r.reached:\n", "	case true || !r.reached:\n",
		scenarios, "TestScenarios/answers",
	},
	{
		"a request on a dropped connection may have run", "pkg/httpjson/client.go",
		"	return errors.Is(err, errClosedWhileIdle) ||", "	return true || errors.Is(err, errClosedWhileIdle) ||",
		"./pkg/upstream", "TestDroppedConnectionIsNotReportedAsNotRun",
	},
	{
		"a claim is taken before the first byte is sent", "service/entry/service.go",
		"	if meta.Once {\n		if claim, f", "	if false && meta.Once {\n		if claim, f",
		scenarios, "TestScenarios/once_killed",
	},
	{
		"a claim is granted once", "pkg/control/claims.go",
		"tablestore.Condition{Key: w.claim.row, Version: w.claim.version})", "tablestore.Condition{Key: w.claim.row + \"x\", Version: 0})",
		"./pkg/control", "TestClaimIsGrantedOnce",
	},
	{
		"an abandoned claim is voided", "pkg/control/claims.go",
		"	w.noWaiter = true\n	w.value.State = ClaimVoid", "	w.noWaiter = true",
		"./pkg/control", "TestAbandonedClaimIsVoidedWhenItsWriteLands",
	},
	{
		"a claim is granted after its commit answer was lost", "pkg/control/claims.go",
		"	ownRow := row.Version > 0 && current.Nonce == w.claim.nonce", "	ownRow := false",
		"./pkg/control", "TestClaimIsGrantedAfterLostCommitAnswer",
	},
	{
		"only one of two changes for the same version is committed", "pkg/control/log.go",
		"		Conditions: []tablestore.Condition{{Key: headRowKey, Version: e.Version - 1}},\n", "",
		"./pkg/control", "TestLogHistoryIsLinearizableUnderFaults|TestProposeReturnsConflictError",
	},
	{
		"a change is recognised by its nonce after its commit answer was lost", "pkg/control/log.go",
		"	return found.Nonce == e.Nonce, nil", "	return false, nil",
		"./pkg/control", "TestProposeSucceedsAfterLostCommitAnswer",
	},
	{
		"the configuration version never decreases", "pkg/control/log.go",
		"d.State != nil && d.State.Version > l.state.Version", "d.State != nil",
		"./pkg/control", "TestMergeNeverLowersVersion",
	},
	{
		"nodes that start or learn of a newer version fetch the configuration from peers", "service/node/config_sync.go",
		"	var d control.Delta\n	req", "	if true {\n		return nil\n	}\n	var d control.Delta\n	req",
		scenarios, "TestScenarios/configuration",
	},
	{
		"probes carry the configuration version", "service/node/wiring.go",
		"		configSync.HandleVersion(from, p.Version)\n", "",
		scenarios, "TestScenarios/configuration",
	},
	{
		"a lease is taken over only after a full term", "pkg/control/leases.go",
		`return lease.row.Holder == "" || now.Sub(lease.unchangedSince) >= l.term`, "return true",
		"./pkg/control", "TestAtMostOneNodeHoldsLease",
	},
	{
		"a holder stops using a lease before its term is over", "pkg/control/leases.go",
		"	lease.validUntil = sentAt.Add(l.term - l.term/leaseMarginDivisor)", "	lease.validUntil = sentAt.Add(2 * l.term)",
		"./pkg/control", "TestLeaseIsTakenOverOnlyAfterFullTerm",
	},
	{
		"an order requires a held lease", "pkg/control/leases.go",
		"	if !l.now().Before(lease.validUntil) {\n		return Fence{}, false\n	}\n	lease.lastSeq++", "	lease.lastSeq++",
		"./pkg/control", "TestFenceRequiresHeldLease",
	},
	{
		"a node that others suspect or consider dead is informed", "pkg/control/members_updates.go",
		"e != nil && (e.State == MemberSuspect", "false && e != nil && (e.State == MemberSuspect",
		"./pkg/control", "TestHalvesRejoinAfterPartition",
	},
	{
		"a node that does not answer is probed through others", "pkg/control/members.go",
		"		for _, helper := range m.pickHelpers(pending.target.Name) {", "		for _, helper := range m.pickHelpers(pending.target.Name)[:0] {",
		"./pkg/control", "TestIndirectProbesKeepMemberAliveDuringPairwisePartition",
	},
	{
		"a leaving upstream gets no new work", "pkg/route/fleet.go",
		"r.report.Leaving || f.leaving[r.Name] ||", "f.leaving[r.Name] ||",
		scenarios, "TestScenarios/leaving_upstream",
	},
	{
		"an upstream that the platform lists as leaving gets no new work", "pkg/route/fleet.go",
		"r.report.Leaving || f.leaving[r.Name] ||", "r.report.Leaving ||",
		scenarios, "TestScenarios/leaving_upstream",
	},
	{
		"a stopping node serves requests that still arrive", "service/node/node.go",
		"	case <-time.After(n.Settings.Entry.MaxAge.Std()):", "	case <-time.After(0):",
		scenarios, "TestScenarios/planned_stop",
	},
	{
		"queues are fair between organisations", "pkg/route/admission.go",
		"		q.virtualFinish = max(q.virtualFinish, a.virtualTime) + ticket.cost/q.Share", "		q.virtualFinish = 0",
		"./pkg/route", "TestLargeOrganisationDoesNotStarveSmallOnes",
	},
	{
		"links are not booked twice", "pkg/route/links.go",
		"		s.busyUntil = s.busyUntil.Add(booking.reserved[i])\n", "",
		"./pkg/route", "TestLinksAreNotOverbooked",
	},
	{
		"a replica without reports is not taken for idle", "pkg/route/fleet.go",
		"	if polled := f.polled[model]; len(polled) > 0 {", "	if polled := f.polled[model]; false && len(polled) > 0 {",
		"./pkg/route", "TestReplicasWithoutReportsAreNotTakenForIdle",
	},
	{
		"weights are swapped in waves", "service/node/reconcile.go",
		"		if leaseHeld && differing[group] < max(1, r.groupSizes[group]/swapDivisor) {", "		if leaseHeld {",
		"./service/node", "TestWeightSwapLimitsEnginesInTransition",
	},
	{
		"a block that is added and removed in one batch is not hot", "service/node/engine_watch.go",
		"		if last[ev.Key] == i {", "		if true || last[ev.Key] == i {",
		"./service/node", "TestBlocksAddedAndRemovedInOneBatchAreNotHot",
	},
	{
		"the first token comes within the patience", "pkg/route/estimator.go",
		"		if all[i].FirstToken() > fastest+p.weights.Patience {", "		if false && all[i].FirstToken() > fastest+p.weights.Patience {",
		"./pkg/route", "TestFirstTokenComesWithinPatience",
	},
	{
		"suspects: the fingerprint covers the organisation", "pkg/site/fingerprint.go",
		"[]string{organisation, method,", "[]string{method,",
		"./pkg/site", "TestDifferentRequestsHaveDifferentFingerprints",
	},
	{
		"suspects: the third crash blocks a request", "pkg/suspect/score.go",
		"var blockScore = math.Log(", "var blockScore = 10 * math.Log(",
		"./internal/standin/onplatform", "TestRequestThatEndsReplicasIsStoppedByAllNodes",
	},
	{
		"suspects: crashes of concurrent runs count as one", "pkg/suspect/score.go",
		"		if inRound++; inRound <= maxEndsPerRound {", "		if inRound++; inRound <= 1000*maxEndsPerRound {",
		"./pkg/suspect", "TestSimultaneousEndsDoNotBlock",
	},
	{
		"suspects: crashes of runs near a finished run do not count", "pkg/suspect/score.go",
		"			sum, finishes = max(floor, sum+w.finish), finishes[1:]", "			finishes = finishes[1:]",
		"./pkg/suspect", "TestFinishClearsEarlierAndFollowingRuns",
	},
	{
		"suspects: a blocked part explains the ends of other causes", "pkg/suspect/attribution.go",
		"		for _, e := range group {\n			r.explain(e)\n		}\n", "",
		"./pkg/suspect", "TestPartIsBlockedFromTheFourthEnd",
	},
	{
		"suspects: a part has to explain more ends than a blocked request", "pkg/suspect/attribution.go",
		"|| r.explainedByRequest(e):", ":",
		"./pkg/suspect", "TestRepeatedRequestsDoNotHideTheirPart",
	},
	{
		"suspects: runs that did not end their replica speak for their part", "pkg/suspect/score.go",
		"	return float64(len(e.Runs)-1) * w.finish", "	return 0",
		"./pkg/suspect", "TestRunsThatDidNotEndTheirReplicaSpeakForTheirPart",
	},
	{
		"suspects: a part is released by finishes", "pkg/suspect/attribution.go",
		"	if e.Kind == KindPart && e.Verdict() == Blocked && e.score() < liftShare*blockScore {", "	if false {",
		"./pkg/suspect", "TestFinishesReleaseAPart",
	},
	{
		"suspects: a lost run accuses the parts of its prompt", "service/suspects/suspects.go",
		"	s.recordPartEnds(&r, end, now)\n", "",
		"./internal/standin/onplatform", "TestPromptPartThatEndsReplicasIsStoppedByAllNodes",
	},
	{
		"an answer that ends with its connection is whole only if its replica lives on", "service/gateway/whole_answer.go",
		"	alive, err := x.g.checkEndOfConnection(x.pool, &a.choice.Upstream)", "	alive, err := true, error(nil)",
		"./internal/standin/onplatform", "TestCommonPartsAreNotBlockedWhenReplicasEndByThemselves",
	},
	{
		"sharing: a period ends as an organisation is isolated that has shared", "pkg/route/sharing.go",
		"isIsolated && shared[h]", "false",
		"./service/gateway", "TestMemoryOfOrganisationsThatBecomeIsolatedIsNotUsedByOthers",
	},
	{
		"sharing: a record of another era ends its period", "pkg/route/sharing.go",
		" || r.Era != era", "",
		"./service/gateway", "TestMemoryOfOrganisationsThatBecomeIsolatedIsNotUsedByOthers",
	},
	{
		"sharing: a period goes on only if nobody else is isolated", "service/gateway/sharing.go",
		" && last.goesOnUnder(s)", "",
		"./service/gateway", "TestMemoryOfOrganisationsThatBecomeIsolatedIsNotUsedByOthers",
	},
	{
		"sharing: a configuration without a period has a namespace of its own", "service/gateway/sharing.go",
		"kind: groupConfig, config: s.Version,", "kind: groupConfig,",
		"./service/gateway", "TestMemoryOfOrganisationsThatBecomeIsolatedIsNotUsedByOthers",
	},
	{
		"sharing: organisations that join end no period", "pkg/route/sharing.go",
		" || contradicts(s, shared, isolated)", " || len(s.Isolation()) > 0",
		"./service/gateway", "TestSharedMemoryIsKeptAsOrganisationsComeAndGo",
	},
	{
		"freeing: nodes that don't know the operator's table plan no fetches", "service/gateway/fetch_terms.go",
		" || !st.operatorKnown(fetchPlanTerm, now)", "",
		"./service/gateway", "TestPartsAreNotFreedWhileANodeThatIsCutOffHasThemFetched",
	},
	{
		"freeing: estimates of a naming count from the earliest", "pkg/route/weight_history.go",
		"				return v.Earliest, true", "				return v.Since, true",
		"./service/gateway", "TestPartsAreFreedOnlyWhenNoFetchOfThemIsPlannedOrUnderWay",
	},
	{
		"suspects: evidence of one end is learned at once", "pkg/suspect/register.go",
		"		results[i] = r.merge(c)", "		results[i] = r.merge(c)\n		r.mu.Unlock()\n		r.mu.Lock()",
		"./service/suspects", "TestPartsThatNoEvidenceTellsApartAreLearnedTogether",
	},
	{
		"freeing: versions older than the history were replaced long ago", "pkg/route/weight_history.go",
		"len(h) == maxWeightHistory && version < h[0].Version", "false",
		"./service/gateway", "TestPartsAreFreedOnlyWhenNoFetchOfThemIsPlannedOrUnderWay",
	},
	{
		"ages: notes tell all recent versions of a model", "service/gateway/weight_ages.go",
		"len(list)+len(ages) <= maxWeightAges", "len(list) <= maxWeightAges",
		"./service/gateway", "TestNotesTellAllRecentVersionsOfAModel",
	},
	{
		"freeing: waits for the term of senders", "service/gateway/fetch_terms.go",
		"freeDelay = fetchPlanTerm + maxFetchTimeout", "freeDelay = maxFetchTimeout",
		"./service/gateway", "TestPartsAreNotFreedWhileANodeThatIsCutOffHasThemFetched",
	},
	{
		"freeing: an ended period is freed", "service/gateway/fetch_terms.go",
		"p.Config < newest.Config", "p.Config > newest.Config",
		"./service/gateway", "TestPartsThatNoRequestMayUseAreFreed",
	},
	{
		"answers: a reset during an upload cuts them", "service/gateway/whole_answer.go",
		"	if !sentWhole(a.writeDone, &a.written) {", "	if false {",
		"./internal/standin/onplatform", "TestAnswerResetDuringAnUploadIsNotWhole/direct",
	},
	{
		"answers: a reset during an upload cuts them through another node", "service/gateway/forward_serve.go",
		"	if !sentWhole(s.sendDone, &s.written) {", "	if false {",
		"./internal/standin/onplatform", "TestAnswerResetDuringAnUploadIsNotWhole/through_another_node",
	},
	{
		"answers: calls keep within their budget", "pkg/httpjson/answer_conn.go",
		"c.read > b.perAnswer || !b.all.TryAcquire(n)", "!b.all.TryAcquire(0)",
		"./pkg/httpjson", "TestAnswersKeepWithinTheirBudget",
	},
	{
		"grace: what can't end is not sent", "service/gateway/grace.go",
		"	if !stopping || x.stream != nil {", "	if stopping || x.stream == nil {",
		"./service/gateway", "TestRequestIsNotSentThatCannotEndInTheGrace",
	},
	{
		"grace: what is left is answered", "service/gateway/gateway.go",
		"	g.endRequests(errGraceOver)\n", "",
		"./internal/soak", "TestRequestsThatANodePassesOnInItsGraceAreAnswered",
	},
	{
		"suspects: a watched request has one run at a time", "pkg/suspect/register.go",
		"	case now.Before(e.runningUntil) && (node == \"\" || e.grantedTo != node):", "	case false:",
		"./pkg/suspect", "TestWatchedRequestRunsOnceAtATime",
	},
	{
		"suspects: a grant is returned to each owner", "service/suspects/grants.go",
		"	s.returnGrants(f, s.owners(f))", "	s.returnGrants(f, s.owners(f)[:1])",
		"./service/suspects", "TestLateGrantDoesNotBlockLaterRuns",
	},
	{
		"suspects: only the holder of a grant can return it", "pkg/suspect/register.go",
		"e != nil && e.grantedTo == node {", "e != nil {",
		"./service/suspects", "TestLateGrantDoesNotBlockLaterRuns",
	},
	{
		"suspects: a starting node waits for the list of blocked requests", "service/gateway/exchange_suspects.go",
		"	x.g.suspects.WaitLearned(ctx)\n", "",
		"./internal/standin/onplatform", "TestStartingNodeWaitsForListOfBlockedRequests",
	},
	{
		"suspects: only a node that has the list answers a starting node", "service/suspects/notes.go",
		"	if own == received.Digest && received.Learned {", "	if own == received.Digest {",
		"./service/suspects", "TestStartingNodeLearnsBlockedRequestsFromOthers",
	},
	{
		"a call is not sent on an idle connection that its server has closed", "pkg/httpjson/progress_conn.go",
		"closed || err != nil {", "closed && false || err != nil {",
		"./pkg/httpjson", "TestCallIsNotSentOnAConnectionClosedByTheServer",
	},
	{
		"members: updates that the receiver knows are sent less often", "pkg/control/members.go",
		"	duplicateWeight = 2\n", "	duplicateWeight = 0\n",
		"./pkg/control", "TestProbesCostFewBytesBetweenHalls",
	},
	{
		"members: other data halls are probed less often", "pkg/control/members.go",
		"	localProbeBoost          = 4\n", "	localProbeBoost          = 1\n",
		"./pkg/control", "TestProbesCostFewBytesBetweenHalls",
	},
	{
		"members: probes within a data hall carry more updates", "pkg/control/members.go",
		"	maxLocalUpdates  = 30\n", "	maxLocalUpdates  = 6\n",
		"./pkg/control", "TestProbesCostFewBytesBetweenHalls",
	},
	{
		"members: join messages carry no updates on other members", "pkg/control/members.go",
		"Seq: m.nextSeq(), Bare: true}", "Seq: m.nextSeq()}",
		"./pkg/control", "TestProbesCostFewBytesBetweenHalls",
	},
	{
		"suspects: owners broadcast changes to all nodes", "service/suspects/notes.go",
		"			flagged = append(flagged, c)\n", "",
		"./service/suspects", "TestRepeatedCrashRequestIsBlockedAtAllSizes",
	},
	{
		"suspects: nodes compare digests of their records", "service/suspects/notes.go",
		"	if own == received.Digest {", "	if true || own == received.Digest {",
		"./service/suspects", "TestReconnectedNodesLearnOfABlock",
	},
	{
		"suspects: a block is stored", "service/suspects/blocked_row.go",
		"	if s.store == nil || s.register.Empty()", "	if true || s.register.Empty()",
		"./internal/standin/onplatform", "TestRestartedNodesStillBlockRequestThatEndsReplicas",
	},
	{
		"suspects: prompts that crash engines are blocked", "service/entry/run_suspects.go",
		"	if suspects.Empty() {", "	if true || suspects.Empty() {",
		scenarios, "TestPromptsThatEndEngines",
	},
	{
		"suspended: no request is forwarded before the node is up to date", "service/gateway/suspension.go",
		"	s.since.Store(&now)\n", "	_ = now\n",
		"./internal/standin/onplatform", "TestSuspendedNode",
	},
	{
		"suspended: an expired request is not sent again", "service/gateway/exchange.go",
		"	x.g.checkSuspension()\n	if !x.g.synced() || boottime.Until(x.deadline) < minTimeLeft {", "	if boottime.Until(x.deadline) < minTimeLeft {",
		"./internal/standin/onplatform", "TestRequestExpiredDuringSuspensionIsNotRetried",
	},
	{
		"suspended: a lease expires during a suspension", "pkg/rollout/lease.go",
		"now: boottime.RefreshNow}\n}", "now: func() time.Time { _ = boottime.Now; return time.Now() }}\n}",
		"./pkg/rollout", "TestLeaseExpiresDuringASuspension",
	},
	{
		"limits: a request needs a grant", "service/gateway/exchange_limits.go",
		"if !ok || x.g.rateLimits.MaySend(ctx, &c.Upstream) {", "if true || x.g.rateLimits.MaySend(ctx, &c.Upstream) {",
		"./internal/standin/onplatform", "TestReplicaGetsNoMoreThanItNamesFromAllNodes",
	},
	{
		"limits: one node grants for all nodes", "service/ratelimit/grants.go",
		"	if owner.Name == l.self.Name {\n		return l.issueGrant", "	if true || owner.Name == l.self.Name {\n		return l.issueGrant",
		"./service/ratelimit", "TestLimitHoldsInFleetsOfAnySize",
	},
	{
		"limits: partitioned nodes together stay within the limit", "service/ratelimit/limits.go",
		"float64(max(1, len(all)-dead)) / float64", "float64(max(1, len(all)+0*dead)) / float64",
		"./service/ratelimit", "TestLimitHoldsDuringPartition",
	},
	{
		"limits: nodes learn of the end of a limit", "service/ratelimit/limits.go",
		"	if l.observe(u, end, now) == quota.ChangeEnded {", "	if false && l.observe(u, end, now) == quota.ChangeEnded {",
		"./internal/standin/onplatform", "TestRateLimitFollowsLatestHeader",
	},
	{
		"limits: unused rate does not accumulate", "pkg/quota/ledger.go",
		"	b.tokens = min(b.capacity(), b.tokens+elapsed", "	b.tokens = max(b.tokens, b.tokens+elapsed",
		"./pkg/quota", "TestUnusedRateIsNotGrantedLater",
	},
	{
		"drain: a drain header in an answer is honoured", "service/gateway/exchange_limits.go",
		"	if info.Draining {", "	if false && a.info.Draining {",
		"./internal/standin/onplatform", "TestDrainingReplicaIsSentNothingOnceItsAnswerSaysSo",
	},
	{
		"drain: the store's list does not undo it", "service/gateway/site_state.go",
		"	u.Draining = u.Draining || st.reportedDraining(u.StartKey())\n", "",
		"./service/gateway", "TestDrainingInResponseOverridesStoreList",
	},
	{
		"drain: nodes inform each other", "service/gateway/replica_updates.go",
		"		n.broadcast(updateFor(replica, replicaUpdate{Draining: true}))\n", "",
		"./internal/standin/onplatform", "TestNodesTellEachOtherThatAReplicaDrains",
	},
	{
		"backoff: an exclusion, not a preference", "pkg/route/exclusion.go",
		"	case now.Before(m.backoffUntil):\n		return ExcludedBackoff\n", "",
		"./pkg/route", "TestBackoffIsHonouredAndLoadReturnsGradually",
	},
	{
		"backoff: it is recorded", "pkg/route/exclusion.go",
		"		m.backoffUntil = until\n", "		_ = m\n",
		"./internal/standin/onplatform", "TestNodeStopsSendingToReplicaThatAsksForBackoff",
	},
	{
		"backoff: it survives relisting of the replica", "pkg/route/pool_members.go",
		"	m.backoffUntil = p.backoffs[m.startKey]\n", "",
		"./pkg/route", "TestBackoffSurvivesRelisting",
	},
	{
		"retries: a restarted node uses only a part of its share", "pkg/route/retry_share.go",
		"	if b.restartedAt.IsZero() || age >= b.window {\n", "	if true || age >= b.window {\n",
		"./pkg/route", "TestKilledNodesDoNotExceedRetryBudget",
	},
	{
		"retries: a node that has run before counts as restarted", "service/gateway/discovery.go",
		"		} else if !restarted {\n", "		} else {\n",
		"./service/gateway", "TestRetryBudgetIsLimitedUnlessNodeStartsForTheFirstTime",
	},
	{
		"weights: replicas that begin after their weights end are excluded", "pkg/route/exclusion.go",
		"	case !m.serves(in), !p.beginsOnUsableWeights(m, in, now):\n", "	case !m.serves(in):\n",
		"./pkg/route", "TestReplicaThatBeginsAfterItsWeightsEndIsExcluded",
	},
	{
		"weights: what waits at an engine with replaced weights is withdrawn", "service/gateway/replaced_weights.go",
		"				conns.withdraw(p)\n", "",
		"./internal/standin/onplatform", "TestPromptDoesNotBeginOnReplacedWeightsAfterItsQueue",
	},
	{
		"backoff: refused clients are told to retry when it ends", "pkg/route/exclusion.go",
		"			recordWait(m.backoffUntil.Sub(now))\n", "",
		"./internal/standin/onplatform", "TestRequestIsRefusedAtOnceWhereAllReplicasDrainOrAskForBackoff",
	},
	{
		"backoff: orders of weights wait for its end", "service/gateway/rollout_fleet.go",
		"	return now.Sub(since) < f.within/2\n", "	_ = since\n	return false\n",
		"./internal/standin/onplatform", "TestWeightsOrderWaitsForBackoff",
	},
	{
		"memory: a response that holds some does not wait for others like it", "service/gateway/response_budget.go",
		"	if h.reserved > 0 || n > ", "	if n > ",
		"./service/gateway", "TestGrowingResponsesDoNotWaitForEachOther",
	},
	{
		"memory: responses are bounded", "service/gateway/response_budget.go",
		"	if !h.large && !h.tryReserve(n) {\n", "	if !h.large && !h.tryReserve(n) && false {\n",
		"./internal/standin/onplatform", "TestSlowReadersDoNotTakeUpTheNodesMemory",
	},
	{
		"memory: a replica is not blamed for a response that was left unread", "service/gateway/whole_answer.go",
		"	return w.hold.waited >= minUnreadToExcuse &&", "	return w.hold.waited < 0 &&",
		"./internal/standin/onplatform", "TestReplicaThatCutsOffAnUnreadResponseIsNotBlamed",
	},
	{
		"memory: bytes at one replica are bounded", "pkg/route/exclusion.go",
		"	case !p.hasRoomForBytes(m, m.sentBytes, in.Bytes):\n", "	case false:\n",
		"./internal/standin/onplatform", "TestReplicaHoldsNoMoreBytesThanTheBound",
	},
	{
		"memory: bytes at one replica are divided among the nodes", "service/gateway/request_shares.go",
		"	requests := int(max(1, r.total/2/largest))\n", "	requests := int(max(1, r.total/largest))\n",
		"./service/gateway", "TestRequestSharesSumToTheBound",
	},
	{
		"impact: a request that may have run is not refused as not run", "service/gateway/caller_impact.go",
		"	if x.mayHaveRun == 0 || !guaranteesNotRun(f.status) {\n", "	if x.mayHaveRun >= 0 {\n",
		"./service/gateway", "TestRequestThatMayHaveRunIsNeverRefusedAsNotRun",
	},
	{
		"streams: an answer that is not the rest is not passed on", "service/gateway/resumed_answer.go",
		"	return classifyResumed(x.stream.head, a.head) == resumedRest\n", "	return true\n",
		"./internal/standin/onplatform", "TestStreamGoesOnAtReplicaThatTakesItUp",
	},
	{
		"streams: no second head is written", "service/gateway/client_writer.go",
		"	if w.started {\n		w.secondHead", "	if false {\n		w.secondHead",
		"./service/gateway", "TestSecondHeadIsNotWritten",
	},
	{
		"streams: a body that ends inside an event is broken off", "service/gateway/relay.go",
		"	return len(r.partial) > 0 && (", "	return false && (",
		"./internal/standin/onplatform", "TestStreamThatEndsInsideAnEventIsCut",
	},
	{
		"endless: skipped answers are bounded", "service/gateway/upstream_conn.go",
		"io.CopyN(io.Discard, b, maxSkippedBytes+1)", "io.CopyN(io.Discard, b, 1<<62)",
		"./internal/standin/onplatform", "TestAnswerWithoutEndIsCutOff/answer_to_another_request",
	},
	{
		"endless: trailers are bounded", "pkg/http1/body.go",
		"	for total := 0; total <= maxTrailerBytes; {", "	for total := 0; total >= 0; {",
		"./internal/standin/onplatform", "TestAnswerWithoutEndIsCutOff/trailers",
	},
	{
		"endless: a stream has events", "service/gateway/relay.go",
		"	if r.eventless+len(r.partial) > maxEventBytes {", "	if false {",
		"./internal/standin/onplatform", "TestAnswerWithoutEndIsCutOff/comments",
	},
	{
		"ages: notes tell the ages of weights", "service/gateway/loads_received.go",
		"	n.siteState.learnWeightAges(note.Weights, now)\n", "",
		"./service/gateway", "TestNodeLearnsAgesFromNotesAndStartStates/note",
	},
	{
		"ages: start states tell the ages of weights", "service/gateway/nodes.go",
		"	n.siteState.learnWeightAges(s.Weights, now)\n", "",
		"./service/gateway", "TestNodeLearnsAgesFromNotesAndStartStates/start_state",
	},
	{
		"ages: namings are recorded", "service/gateway/weight_register.go",
		"	if !write || !changed {", "	if !write || !changed || len(known) > 0 {",
		"./internal/standin/onplatform", "TestOldWeightsAreNotUsedForAnotherTerm$/only_node_is_replaced",
	},
	{
		"ages: the record is read", "service/gateway/weight_register.go",
		"		read = read || r.readFor[model] < newest.Version && r.readDue(newest, rank, now)", "		read = false",
		"./service/gateway", "TestStartedNodeReadsRecordOfNewEra",
	},
	{
		"ages: what is recorded is not written again", "service/gateway/weight_register.go",
		"		r.settled = known\n", "		r.settled = nil\n",
		"./service/gateway", "TestFleetRecordsNamingOnce",
	},
	{
		"ages: calls that fail are not repeated at once", "service/gateway/weight_register.go",
		"	if now.Before(r.calls.next) {", "	if false {",
		"./service/gateway", "TestFailingStoreIsCalledWithPauses",
	},
	{
		"ages: a new era does not clear what is known", "service/gateway/weight_register.go",
		"		r.settled = nil // ", "		clear(r.settled) // ",
		"./internal/standin/onplatform", "TestOldWeightsAreNotUsedForAnotherTermWhenTheStoreReturns",
	},
	{
		"ages: times of another era are not used", "pkg/route/weight_record.go",
		"map[string][]WeightVersion {\n	if r.Era != at.Era {", "map[string][]WeightVersion {\n	if false {",
		"./pkg/route", "TestRecordOfAnotherEraTellsNothing",
	},
	{
		"ages: a slow reading does not replace a time that is known", "pkg/route/weight_record.go",
		"				v.Since = latest\n", "				v.Since = latest.Add(earliest.Sub(latest))\n",
		"./service/gateway", "TestSlowStoreDoesNotAgeWeights",
	},
	{
		"ages: an age that can't be known is estimated", "service/gateway/weights.go",
		"	late := st.mayHaveMissedOperator(maxChangeDelay, now)\n", "	late := unheard < 0\n",
		"./internal/standin/onplatform", "TestUnknownAgeIsNeitherNewNorOver",
	},
	{
		"ages: an estimate gives way", "pkg/route/weight_history.go",
		"		return v.Estimated\n", "		return false\n",
		"./pkg/route", "TestKnownAgeReplacesEstimate",
	},
	{
		"ages: the older age holds", "pkg/route/weight_history.go",
		"	return other.Since.Before(v.Since.Add(-minAgeDifference))", "	return other.Since.After(v.Since.Add(minAgeDifference))",
		"./pkg/route", "TestKnownAgeReplacesEstimate",
	},
	{
		"ages: notes after a suspension are dated after it", "service/gateway/loads_received.go",
		"	now := boottime.RefreshNow() // ", "	now := boottime.Now() // ",
		"./service/gateway", "TestAgeToldAfterSuspensionIsNotCountedFromBefore",
	},
	{
		"ages: rows after a suspension are dated after it", "service/tables/follow.go",
		"f.Apply(l.Rows, false, boottime.RefreshNow())", "f.Apply(l.Rows, false, boottime.Now())",
		"./service/tables", "TestRowsThatArriveAfterSuspensionAreNotDatedBefore",
	},
}
