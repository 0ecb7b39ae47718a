package role

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/entry"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/keeper"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/platform"
)

// configChanged applies a newer configuration. One that can't be decoded leaves the one before in effect.
func (e *Entry) configChanged(s mirror.Snapshot) []invalidObject {
	for _, o := range s.Objects {
		if o.Name != platform.ConfigName {
			continue
		}
		known := e.config.Load()
		if known != nil && known.Revision >= o.Version {
			continue
		}
		c, err := platform.DecodeConfig(o)
		if err != nil {
			e.reportInvalidConfig(o.Version, err)
			continue
		}
		e.limiter.SetCustomers(c.Customers)
		e.config.Store(config.NewTable(c))
		e.Observer.Emit(event.ConfigApplied, "number", c.Number, "version", c.Revision, "routes", len(c.Routes), "customers", len(c.Customers))
	}
	return nil
}

// reportInvalidConfig reports a configuration that can't be decoded, once for each version.
func (e *Entry) reportInvalidConfig(v chestnutcleat.Version, err error) {
	if e.reportedConfig != v {
		e.Observer.Emit(event.ConfigInvalid, "version", v, "error", shortError(err))
	}
	e.reportedConfig = v
}

// instancesChanged updates the list of instances. An object that can't be decoded names no instance, whatever it said before.
func (e *Entry) instancesChanged(s mirror.Snapshot) []invalidObject {
	list := make([]chestnutcleat.Instance, 0, len(s.Objects))
	var invalid []invalidObject
	leaving := 0
	for _, o := range s.Objects {
		i, err := platform.DecodeInstance(o)
		if err != nil {
			invalid = append(invalid, invalidObject{o, err})
			continue
		}
		if i.Leaving {
			leaving++
		}
		list = append(list, i)
	}
	for _, id := range e.placement.SetInstances(list) {
		e.noteDeparture(id, entry.DepartureByRegistration)
	}
	e.Observer.Emit(event.InstancesChanged, "version", s.Version, "instances", len(list), "leaving", leaving)
	return invalid
}

// fleetChanged updates the list of VMs and the replica set. A replica set that can't be decoded leaves the one before in effect.
func (e *Entry) fleetChanged(s mirror.Snapshot) []invalidObject {
	members, invalid := e.members(s)
	e.fleet.SetMembers(members)
	for _, o := range s.Objects {
		if o.Name != replicaSetName {
			continue
		}
		set, err := keeper.DecodeReplicaSet(o)
		if err != nil {
			invalid = append(invalid, invalidObject{o, err})
			continue
		}
		e.ledger.SetReplicaSet(set)
	}
	return invalid
}
