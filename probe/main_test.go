package probe

import (
	"os"
	"testing"

	"bramleymill/rapidseed"
)

func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m)) }
