#include "admission/Admission.h"
