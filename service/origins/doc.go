// Package origins lets nodes know at which versions of their services' software streams have begun, so that
// a stream that breaks off goes on only there. Package origin decides; this one exchanges the records
// with other nodes and keeps the lists of versions in the platform's store.
package origins
