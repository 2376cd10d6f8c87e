// Package schedulerprocess is a scheduler as a whole process: from its settings
// it opens the data folder and connects the replica, the record and the acting
// scheduler. A gateway makes operators' calls from within it. On a machine
// without a data folder it is a Relay, which keeps no record.
package schedulerprocess
