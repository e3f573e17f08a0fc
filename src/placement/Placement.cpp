#include "placement/Placement.h"
