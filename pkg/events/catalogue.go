package events

// Keys that several lines have.
var (
	keyRequest  = Key{"request", "the client's name of its attempt"}
	keyReplica  = Key{"replica", "the start of the replica"}
	keyTeller   = Key{"peer", "the other node's address"}
	keyRoute    = Key{"route", "the route's name"}
	keyErr      = Key{"err", "what went wrong"}
	keyLimit    = Key{"limit", "requests a second that the replica's answer says it takes from all nodes; empty if it says nothing, ? if it can't be read"}
	keyDraining = Key{"draining", "whether the replica's answer says that it drains"}
	keyBackoff  = Key{"backoff", "nanoseconds for which the replica's refusal asks this node to send it nothing; 0 if it does not ask"}
	keyEnds     = Key{"ends", "how many replicas ended under the content, as far as known"}
	keyEnded    = Key{"replicas", "the starts of these replicas"}
	keyVerdict  = Key{"verdict", "free, watched (runs once at a time) or blocked (is not sent)"}
	keyContent  = Key{"content", "the fingerprint of what the request asks and for whom, alike for each attempt of its caller"}
	keyAttempts = Key{"attempts", "attempts that may have run"}
	keyNotRun   = Key{"not_run", "attempts that were refused or could not be sent"}
	keyAfter    = Key{"after", "nanoseconds since the request's head had come"}
	keyStopTime = Key{"after", "nanoseconds since the node was told to stop"}
	keyModel    = Key{"model", "the model"}
	keyVersion  = Key{"version", "the version: of the weights, the configuration, or the store's row"}
	keyNode     = Key{"node", "the node's name"}
	keyInFlight = Key{"in_flight", "requests being served"}
	keyStore    = Key{"store", "the store of kept state"}
	keyTable    = Key{"table", "the table of the platform's store"}
	keyRow      = Key{"row", "the row's key"}
	keyUpstream = Key{"upstream", "the start of the replica"}
	keyService  = Key{"service", "the service"}
	keyFile     = Key{"file", "the settings file"}
	keyBoot     = Key{"boot", "the start of the store"}
	keyLease    = Key{"lease", "the lease's name"}
	keyFence    = Key{"fence", "the number that rises with each holder"}
	keyHall     = Key{"hall", "the data hall"}
	keyParts    = Key{"parts", "how many parts of prompts"}
	keyAway     = Key{"away", "nanoseconds for which it was lost"}
)

// Catalogue is every line that a gateway logs, but for debugging.
var Catalogue = []Event{
	{"answered", Routine, "A request got a replica's answer.", []Key{
		keyRequest, keyRoute, keyReplica,
		{"hall", "the replica's data hall"},
		{"weights", "the version that the replica has, as far as known; 0 for a service without"},
		{"newest", "the newest version that was named"},
		{"tokens", "tokens of the prompt"},
		{"shared", "of those, the tokens that other requests may share"},
		{"kept", "of those, the tokens that the replica holds or can fetch"},
		{"held", "of those, the tokens that the replica itself holds"},
		{"read", "tokens that the replica was expected to read"},
		{"fetched", "tokens that were to be fetched"},
		{"saved", "tokens that were to be saved"},
		{"sources", "where each part was to come from"},
		{"fetch_ms", "how long the fetch was expected to take"},
		{"expected_ms", "how long the first byte was expected to take"},
		{"first_ms", "how long it took"},
		{"gap_ms", "the longest pause between bytes of a stream"},
		{"before_ms", "how long the request was here before it was sent"},
		{"all_ms", "how long it took in all"},
		keyLimit, keyDraining,
		keyAttempts, keyNotRun,
	}},
	{"refused", Failure, "A request got an answer of the node's own.", []Key{
		keyRequest,
		{"status", "the status"},
		{"reason", "why: see the reasons below"},
		keyRoute, keyService,
		{"retry_after", "nanoseconds after which to come back; only where the request did not run"},
		keyAfter, keyAttempts, keyNotRun,
		{"config", "the version of the configuration in force"},
		{"list_age", "nanoseconds since the list of upstreams was last heard of"},
		{"store_away", "nanoseconds since that list was last not to be had; 0 for never"},
		{"replicas", "replicas of the service"},
		{"usable", "of those, the ones that are neither left out nor passed over"},
		{"median_wait", "nanoseconds that the median replica is expected to have a prompt wait"},
		keyInFlight,
	}},
	{"client left", Failure, "A client closed its connection before its answer was whole.", []Key{keyRequest, keyRoute, keyAfter, keyAttempts}},
	{"cut by a stop", Failure, "A request was cut by the end of its node; it may have run.", []Key{keyRequest, keyRoute, keyAfter, keyAttempts}},
	{"replica refused", Failure, "A replica said that it did not run a request.", []Key{
		keyRequest, keyReplica,
		{"status", "the replica's status"},
		{"weights", "the version that it was taken to have"},
		{"newest", "the newest version that was named"},
		keyLimit, keyDraining, keyBackoff,
		keyNotRun,
	}},
	{"replica failed", Failure, "A replica ran a request and answered with a failure; it is delivered if no other does better.", []Key{
		keyRequest, keyRoute, keyReplica, {"status", "the replica's status"}, keyDraining, keyBackoff, keyAttempts, keyAfter,
	}},
	{"replica not reached", Failure, "No connection to a replica could be made; nothing was sent.", []Key{
		keyRequest, keyReplica, {"addr", "the replica's address"}, keyErr,
	}},
	{"resting connections closed", Failure, "An answer was given up after a silence; the connections to its replica that rested may be as silent.", []Key{
		keyRequest, keyReplica,
		{"quiet", "nanoseconds for which nothing had come"},
		{"closed", "how many connections"},
	}},
	{"answer lost", Failure, "A connection broke before the head of the answer; the request may have run.", []Key{keyRequest, keyContent, keyReplica, keyAttempts, keyErr}},
	{"answer cut short", Failure, "An answer's body broke off; the request has run.", []Key{keyRequest, keyContent, keyReplica, keyErr}},
	{"stream broke off", Failure, "A stream of events broke off at its replica.", []Key{
		keyRequest, keyContent, keyReplica, {"last_event", "the last event that was passed on"}, keyErr,
	}},
	{"machine was suspended", Change, "The node's machine was suspended; what the node knew is asked anew.", []Key{
		keyNode,
		{"for", "nanoseconds"},
		keyInFlight,
		{"resting", "resting connections to replicas that were closed"},
		{"stores", "stores of kept state of which nothing is known until they are heard"},
	}},
	{"serves again after a suspension", Change, "The node has heard what holds, or waited long enough for that.", []Key{keyNode, {"after", "nanoseconds since the suspension was found"}}},
	{"suspensions of the machine are not found", Failure, "The system has no clock that counts them.", []Key{keyNode, keyErr}},
	{"replica ended under a request", Failure, "A replica took no connection any more, or started anew, after the answer to a request in flight there was lost.", []Key{
		keyRequest, keyContent, keyReplica, keyEnds, keyVerdict,
		{"finished_before", "whether a replica is known to have finished the same content; ends near it don't count"},
	}},
	{"replica says that it drains", Change, "A replica's answer, at this node or another, says that it is about to end; its row does not say so yet.", []Key{
		keyUpstream, keyService,
		{"list_age", "nanoseconds since the list of upstreams was last heard of"},
	}},
	{"replica names a limit", Change, "Word that a replica takes only so many requests a second from all nodes together, or another number than before.", []Key{
		keyReplica,
		{"per_second", "that number"},
		{"age", "nanoseconds since a replica's answer told it"},
		{"owner", "the node that gives a grant to send it something, as this one sees it"},
	}},
	{"limit of a replica is over", Change, "Word that a replica's answer named no limit any more.", []Key{
		keyReplica, {"age", "nanoseconds since the request of that answer was sent"},
	}},
	{"request suspected", Failure, "What is known of a content has it run once at a time among all nodes, or no more.", []Key{keyContent, keyVerdict, keyEnds, keyEnded}},
	{"request no longer suspected", Change, "A replica has finished a content under which replicas had ended.", []Key{keyContent}},
	{"request blocked", Failure, "A request was not sent on, as replicas had ended under its content.", []Key{keyRequest, keyContent, keyEnds, keyEnded, keyAttempts}},
	{"blocked requests not written", Failure, "The row for nodes that start later was not written; it is tried again.", []Key{keyErr}},
	{"serves without having heard what is blocked", Failure, "Neither the store nor another node has told a node that has started; its first requests wait no longer.", []Key{keyNode, {"after", "nanoseconds that they have waited at most"}}},
	{"row of blocked requests can't be read", Failure, "The row for nodes that start later can't be read.", []Key{keyRow, keyErr}},
	{"stream cut", Failure, "A stream that had begun was broken off towards the client.", []Key{keyRequest, keyRoute, {"reason", "why"}}},

	{"configuration in force", Change, "A configuration was put in force.", []Key{keyVersion, {"routes", "how many routes"}}},
	{"configuration not usable, the last one stays", Failure, "A row of the operator's can't be used.", []Key{keyRow, keyVersion, keyErr}},
	{"weights named", Change, "New weights of a model were named.", []Key{keyModel, keyVersion}},
	{"upstream listed", Change, "The list of upstreams has a replica, or says that it drains.", []Key{
		keyUpstream, keyService,
		{"addr", "its address"},
		{"draining", "whether it drains"},
		{"started", "when it started, by its own clock; the year 1 if it does not say"},
		{"cold", "nanoseconds for which it said that it is cold"},
		{"restarted", "whether it has started again under the ID that it had"},
	}},
	{"upstream dropped", Change, "The list no longer has a replica.", []Key{
		keyUpstream, keyService, {"missing", "nanoseconds for which its entry was waited for, after an absence of the store"},
	}},
	{"upstream not usable, left out", Failure, "An entry of the list can't be used: it names no replica, whatever it said before.", []Key{keyRow, keyVersion, keyErr}},
	{"data hall evacuated", Change, "Operators have a data hall get no more requests.", []Key{keyHall, keyVersion}},
	{"data hall taken back", Change, "It may get requests again.", []Key{
		keyHall, keyVersion, {"after", "nanoseconds since this node heard of the evacuation"},
	}},
	{"evacuation of a data hall that is not known", Failure, "The row is passed over.", []Key{keyHall, keyVersion}},
	{"store lost", Failure, "Calls to the platform's store fail.", []Key{keyTable, keyVersion, keyErr}},
	{"store back", Change, "They succeed again.", []Key{keyTable, keyVersion, keyAway}},
	{"store not reached, other nodes are asked", Failure, "This node's own calls to the platform's store fail; it hears of changes from other nodes.", []Key{keyTable, keyErr}},
	{"store reached again", Change, "This node's own calls succeed again.", []Key{keyTable, keyAway, {"asked", "how often other nodes were asked meanwhile"}}},
	{"operator's rows heard", Change, "Rows of the operator's table came.", []Key{
		keyVersion,
		{"rows", "how many"},
		{"bytes", "of their values"},
		{"by", "who told them: store, or the other node's address"},
		{"after", "nanoseconds since they were asked for, the wait for a change included"},
	}},
	{"reader passed over", Failure, "A node that reads a table for this one failed; another, or the store, is asked for a while.", []Key{
		keyTable, keyTeller, {"after", "nanoseconds since it was asked"}, keyErr,
	}},
	{"rows not packed", Failure, "A changed row could not be packed for other nodes; they ask the store.", []Key{keyRow, keyVersion, keyErr}},
	{"store not read for another node", Failure, "A node that was asked for a table had not heard of it lately, nor could it read the store.", []Key{keyTable, keyErr}},
	{"store of kept state lost", Failure, "The events of a store of kept state can't be followed; it is not used.", []Key{keyStore, keyErr}},
	{"store of kept state back", Change, "They can be again.", []Key{keyStore, keyBoot, keyAway}},
	{"engine's events lost", Failure, "The events of an engine can't be followed; what it holds is guessed, and nothing is fetched from it.", []Key{keyReplica, keyErr}},
	{"engine's events back", Change, "They can be again.", []Key{keyReplica, keyBoot}},
	{"teller of held state lost", Failure, "The node that tells this one what engines hold does not answer.", []Key{keyTeller, keyErr}},
	{"teller of held state back", Change, "It answers again.", []Key{keyTeller}},
	{"news of held state not understood", Failure, "Another node told what an engine holds in a form that can't be read; it is left out.", []Key{keyErr}},
	{"parts freed", Change, "Parts made under replaced weights were freed.", []Key{keyStore, keyParts, keyBoot}},
	{"parts not freed", Failure, "A store did not free parts; it is tried again.", []Key{keyStore, keyParts, keyErr}},

	{"lease taken", Change, "This node may give orders to a group of replicas.", []Key{keyLease, keyFence, keyVersion}},
	{"lease not read", Failure, "A lease could not be read; it is tried again.", []Key{keyErr}},
	{"lease not written", Failure, "A lease could not be written; its end is not moved.", []Key{keyErr}},
	{"lease row can't be read", Failure, "A lease's row is not understood.", []Key{keyErr}},
	{"order given", Change, "A replica was told to change its weights.", []Key{
		keyReplica, keyModel, keyVersion, keyFence,
		{"orders", "orders that the replica had taken before"},
		{"outcome", "0 unknown, 1 taken, 2 it has them, 3 refused, 4 not understood"},
		keyErr,
	}},
	{"replica serves new weights", Change, "A replica was seen to have its new weights.", []Key{keyReplica, keyModel, keyVersion}},
	{"replica not asked", Failure, "A replica did not tell its state.", []Key{keyReplica, keyErr}},
	{"replica not swapped in time", Failure, "An order was not seen to be carried out; it is tried again.", []Key{keyReplica, keyModel, keyVersion}},

	{"mechanisms are off", Change, "The settings switch off mechanisms of the decisions, which is for measurements only.", []Key{
		keyNode,
		{"without", "the settings' names of those that are off"},
	}},
	{"node started", Change, "The process serves.", []Key{
		keyNode, {"entry", "where clients come"}, {"directory", "where clients ask"}, {"peer", "where nodes talk"}, keyStore,
	}},
	{"stopping", Change, "The process was told to stop.", []Key{keyNode, keyInFlight}},
	{"requests cut by a stop", Failure, "A stop has closed connections that carried requests.", []Key{
		keyNode, keyStopTime,
		{"heading", "requests whose head was being read"},
		{"bodying", "requests whose body was being read"},
		{"serving", "requests that were being served"},
	}},
	{"node stopped", Change, "The process has ended its work.", []Key{keyNode, keyStopTime, {"cut", "requests that its stop has cut"}}},
	{"settings file to be read again", Change, "A signal came to read the settings again.", []Key{keyFile}},
	{"settings in force", Change, "Changed settings were put in force.", []Key{
		keyNode, {"retry_share", "retries for each request"}, {"grace", "nanoseconds from a signal to stop to the kill"},
	}},
	{"settings not usable, those in force stay", Failure, "The settings file has faults.", []Key{keyFile, keyErr}},
	{"changed addresses hold only after a restart", Failure, "The settings name other addresses than those in use.", []Key{keyNode}},
	{"nodes not read", Failure, "This node could not write its address to the store, or not read the others'; it is tried again.", []Key{keyErr}},
	{"nodes read again", Change, "It could again.", []Key{keyAway}},
	{"node row can't be read", Failure, "Another node's address is not understood.", []Key{keyRow, keyErr}},
	{"note not sent", Failure, "A note to other nodes could not be made.", []Key{{"method", "the note"}, keyErr}},
	{"side server ended", Failure, "A listener beside the one for requests failed.", []Key{keyErr}},
	{"accept failed", Failure, "A listener could not take a connection, most often for want of descriptors; it is tried again until it can.", []Key{
		{"listen", "the listener's address"}, keyErr,
	}},
	{"no longer accepting", Failure, "The listener for requests failed.", []Key{keyErr}},
	{"lines left out", Failure, "Lines were left out since the last of this kind, by class.", []Key{
		{"routine", "lines of class routine"}, {"change", "of class change"}, {"failure", "of class failure"},
	}},
}

// Reasons explains the values of "reason".
var Reasons = []Key{
	{"no_configuration", "the node has just started and knows no configuration (503)"},
	{"no_route", "no route has this host and path (404)"},
	{"unknown_key", "no organisation holds the key (401)"},
	{"bad_request", "what came is not a request, or has no id (400)"},
	{"too_large", "the body is over the limit (413)"},
	{"head_too_large", "the head is over the limit (431)"},
	{"too_slow", "the head or body did not come in time (408)"},
	{"no_replica", "no replica of the service may be used (503)"},
	{"cold", "the replicas that may be used are cold, or taken to be, and this node's share of them is used up (503)"},
	{"limited", "the replicas that may be used have named how many requests a second they take, and that is used up (503)"},
	{"evacuated", "the replicas that may be used are in data halls that are evacuated (503)"},
	{"outside_homes", "no replica is in a region in which the request may run (503)"},
	{"draining", "the replicas of the service are about to end (503)"},
	{"backoff", "the replicas that may be used have asked this node to send them nothing for a while (503)"},
	{"replicas_full", "those that were asked refused (503)"},
	{"overloaded", "the prompt would wait too long (503)"},
	{"deadline", "the time is over: 503 if nothing was sent, 504 if it may have run"},
	{"answer_lost", "the answer was lost and the request may have run (502)"},
	{"ends_replicas", "replicas have ended under what the request asks; it was not sent (400), or not again (502)"},
	{"suspended", "the node's machine was suspended, and it has not heard yet what holds now (503)"},
	{"suspected", "replicas have ended under what the request asks, and another such request is under way; come back (503)"},
}
