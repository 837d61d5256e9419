package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMechanismsAreEnabledByDefault(t *testing.T) {
	s, err := ParseGateway(fillDeployTemplate(t, nil))
	assert.NilError(t, err)
	assert.Equal(t, len(s.Disabled.Names()), 0)
	assert.DeepEqual(t, DisabledMechanisms{StoreSaves: true, ConnectionReuse: true}.Names(), []string{"saves", "resting"})
}

func TestUnknownMechanismIsRejected(t *testing.T) {
	_, err := ParseGateway([]byte(`{"without": {"magic": true}}`))
	assert.ErrorContains(t, err, "without.magic")
}
