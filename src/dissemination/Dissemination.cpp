#include "dissemination/Dissemination.h"
